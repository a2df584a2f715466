//! Routes and versions.

use bamboodoor::outcome::RefusalReason;
use bamboodoor::router::Router;
use bamboodoor::router::RouterConfig;
use bamboodoor::router::configuration::RouteTable;
use bamboodoor::router::request::IncomingRequest;

use crate::scene::DESK;
use crate::scene::ENGINES;
use crate::scene::HOST;
use crate::scene::ms;
use crate::scene::route;

fn routes() -> RouteTable {
    RouteTable {
        version: 3,
        routes: vec![route("/a/", DESK), route("/a/b/", ENGINES)],
        ..RouteTable::default()
    }
}

macro_rules! chosen {
    ($($name:ident: $host:expr, $path:literal => $prefix:expr;)*) => {$(
        #[test]
        fn $name() {
            let table = routes();
            let route = table.route($host, $path).map(|route| table.routes[route].path_prefix.as_str());
            assert_eq!(route, $prefix);
        }
    )*};
}

chosen! {
    the_longest_prefix: HOST, "/a/b/c" => Some("/a/b/");
    a_shorter_prefix: HOST, "/a/x" => Some("/a/");
    whole_segments_only: HOST, "/a/bc" => Some("/a/");
    no_prefix: HOST, "/x" => None;
    another_host: "other.example", "/a/x" => None;
    the_host_in_capitals: "SERVICE.EXAMPLE", "/a/x" => Some("/a/");
}

#[test]
fn a_version_never_goes_back() {
    let mut router = Router::new(RouterConfig::default());
    assert!(router.configure(routes()));
    assert!(!router.configure(RouteTable { version: 2, ..RouteTable::default() }));
    assert!(!router.configure(RouteTable { version: 3, ..RouteTable::default() }));
    assert_eq!(router.table().map(|table| table.version), Some(3));
}

#[test]
fn without_a_configuration_nothing_is_missing() {
    let mut router = Router::new(RouterConfig::default());
    assert!(!router.is_ready());
    let refusal =
        router.accept_request(ms(0), IncomingRequest::default()).expect_err("has no routes");
    assert_eq!(refusal.reason, RefusalReason::NotReady);
}

#[test]
fn an_entry_that_leaves_is_not_ready() {
    let mut router = Router::new(RouterConfig::default());
    router.configure(routes());
    assert!(router.is_ready());
    router.start_leaving();
    assert!(!router.is_ready());
}
