//! Calls to plain services whose agent replies later than the entry expects: the caller gets the
//! reply if no other attempt may follow.

use std::time::Duration;

use bamboodoor::entry::EntryAction;
use bamboodoor::entry::EntryConfig;
use bamboodoor::entry::EntryCore;
use bamboodoor::entry::ResponsePart;
use bamboodoor::entry::request::IncomingCall;
use bamboodoor::entry::request::IncomingRequest;
use bamboodoor::entry::request::IncomingWork;
use bamboodoor::manifest::fold::publish_record;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;
use bamboodoor::schema::wire::to_entry::Kind as ToEntry;

use crate::fleet::NOW;

const MANIFEST: &str = include_str!("../processes/manifest.jsonc");
/// The service's timeout and the margin of the entry, after which it asks the agent to fence the
/// call.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Longer than an agent may take to reply to that question.
const NO_REPLY: Duration = Duration::from_millis(500);
/// Three times the service's timeout.
const DEADLINE: Duration = Duration::from_secs(3);

/// What the agent replies when it is asked to fence the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FenceReply {
    /// The call has started.
    Started,
    /// Nothing for longer than usual.
    None,
}

struct Trial {
    core: EntryCore,
    agent: AgentKey,
    now: Duration,
    out: Vec<EntryAction>,
}

impl Trial {
    /// Starts a booking, which may run once.
    fn start() -> Self {
        let mut core = EntryCore::new(EntryConfig::default());
        let mut out = Vec::new();
        let record = publish_record("test", "test", 0, MANIFEST);
        let text = serde_json::to_string(&record).expect("a record can be serialized as JSON");
        core.on_manifest_start(0);
        core.on_manifest_record(NOW, 0, Duration::ZERO, &text, &mut out);
        let hello = wire::AgentHello {
            incarnation: 1,
            name: "desk-1".to_string(),
            pool: "desk".to_string(),
            ..wire::AgentHello::default()
        };
        let agent = core.agent_connected(NOW, &hello, &mut out);
        let call = IncomingCall {
            service: "desk".into(),
            method: "POST".into(),
            path: "/bookings/1".to_string(),
            ..IncomingCall::default()
        };
        let work = IncomingWork::Call(call);
        let incoming = IncomingRequest { request_id: "r1".into(), account: "".into(), work };
        core.on_request(NOW, incoming, &mut out);
        Self { core, agent, now: NOW, out }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.core.tick(self.now, &mut self.out);
    }

    fn deliver(&mut self, message: ToEntry) {
        self.core.on_agent_message(self.now, self.agent, message, &mut self.out);
    }

    fn call(&self) -> AttemptId {
        let found = self.out.iter().find_map(|action| match action {
            EntryAction::Send { message: ToAgent::Call(call), .. } => call.id,
            _ => None,
        });
        found.expect("the call is sent")
    }

    fn asked_to_fence(&self) -> bool {
        let is_abandon = |action: &EntryAction| {
            matches!(action, EntryAction::Send { message: ToAgent::Abandon(_), .. })
        };
        self.out.iter().any(is_abandon)
    }

    fn response(&self) -> Option<&ResponsePart> {
        self.out.iter().find_map(|action| match action {
            EntryAction::Respond { part, .. } => Some(part),
            _ => None,
        })
    }
}

/// Plays a booking that its agent has started and that the entry asks to have fenced.
fn overdue(reply: FenceReply) -> Trial {
    let mut trial = Trial::start();
    trial.pass(ENTRY_TIMEOUT);
    assert!(trial.asked_to_fence());
    match reply {
        FenceReply::Started => {
            let reply = wire::AbandonReply { id: Some(trial.call()), fenced: false };
            trial.deliver(ToEntry::AbandonReply(reply));
        }
        FenceReply::None => trial.pass(NO_REPLY),
    }
    trial
}

macro_rules! late_replies {
    ($($name:ident: $reply:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let mut trial = overdue(FenceReply::$reply);
                let id = Some(trial.call());
                trial.deliver(ToEntry::CallReply(wire::CallReply {
                    id,
                    status: 200,
                    ..wire::CallReply::default()
                }));
                let response = trial.response();
                assert!(matches!(response, Some(ResponsePart::Reply(_))), "{response:?}");
            }
        )+
    };
}

late_replies! {
    a_booking_that_has_started_gets_its_late_reply: Started;
    a_booking_whose_agent_does_not_say_whether_it_has_started_gets_its_late_reply: None;
}

#[test]
fn a_booking_without_a_reply_ends_at_its_deadline() {
    let mut trial = overdue(FenceReply::Started);
    trial.pass(DEADLINE);
    let response = trial.response();
    assert!(matches!(response, Some(ResponsePart::Refused(_))), "{response:?}");
}
