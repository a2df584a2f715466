//! Choice of the route, versions of the configuration, and readiness.

use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Router;
use bamboodoor::router::RouterSettings;
use bamboodoor::router::configuration::Configuration;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::shutdown::Shutdown;

use crate::harness::DESK;
use crate::harness::ENGINES;
use crate::harness::HOST;
use crate::harness::ms;
use crate::harness::route;

/// Returns a configuration in which one path prefix starts with another.
fn overlapping_routes() -> Configuration {
    Configuration {
        version: 3,
        routes: vec![route("/a/", DESK), route("/a/b/", ENGINES)],
        ..Configuration::default()
    }
}

macro_rules! chosen_route {
    ($($name:ident: $host:expr, $path:literal => $prefix:expr;)*) => {$(
        #[test]
        fn $name() {
            let configuration = overlapping_routes();
            let prefix = configuration
                .route($host, $path)
                .map(|route| configuration.routes[route].path_prefix.as_str());
            assert_eq!(prefix, $prefix);
        }
    )*};
}

chosen_route! {
    the_longest_matching_prefix_wins: HOST, "/a/b/c" => Some("/a/b/");
    a_shorter_prefix_applies_if_the_longer_one_does_not_match: HOST, "/a/x" => Some("/a/");
    a_prefix_matches_whole_segments_only: HOST, "/a/bc" => Some("/a/");
    a_path_without_a_matching_prefix_has_no_route: HOST, "/x" => None;
    another_host_has_no_route: "other.example", "/a/x" => None;
    the_case_of_the_host_does_not_matter: "SERVICE.EXAMPLE", "/a/x" => Some("/a/");
}

#[test]
fn only_a_newer_configuration_replaces_the_one_in_force() {
    let mut router = Router::new(RouterSettings::default());
    assert!(router.configure(overlapping_routes()));
    assert!(!router.configure(Configuration { version: 2, ..Configuration::default() }));
    assert!(!router.configure(Configuration { version: 3, ..Configuration::default() }));
    assert_eq!(router.configuration().map(|configuration| configuration.version), Some(3));
}

#[test]
fn without_a_configuration_requests_are_refused_as_not_ready() {
    let mut router = Router::new(RouterSettings::default());
    assert!(!router.is_ready(ms(0)));
    let refusal = router
        .accept_request(ms(0), IncomingRequest::default())
        .expect_err("a router without a configuration refuses requests");
    assert_eq!(refusal.reason, RefusalReason::NotReady);
}

#[test]
fn a_leaving_entry_is_not_ready() {
    let mut router = Router::new(RouterSettings::default());
    router.configure(overlapping_routes());
    assert!(router.is_ready(ms(0)));
    router.start_leaving(Shutdown {
        started_at: ms(0),
        listener_closes_at: ms(2_500),
        ends_at: ms(7_200),
    });
    assert!(!router.is_ready(ms(0)));
}
