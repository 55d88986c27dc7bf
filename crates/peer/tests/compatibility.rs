//! The encoding of messages stays as other builds know it. `fixture/messages.txt` has a line
//! for each message: its name, the version that contains it, and the encoded frame.

use std::net::SocketAddr;

use balance::account;
use balance::endpoint::Endpoint;
use balance::endpoint::Instance;
use balance::endpoint::Roster;
use balance::load::Load;
use balance::origin;
use balance::removal;
use balance::software;
use balance::subject::Subject;
use balance::suspect::Evidence;
use balance::suspects;
use bytes::BytesMut;
use duty::usage::Window;
use membership::digest::Digest;
use membership::digest::Holder;
use membership::digest::Message;
use membership::digest::Quota;
use membership::digest::Report;
use membership::protocol::Protocol;
use membership::reads;
use peer::wire;
use peer::wire::Frame;
use quota::endpoint;
use quota::room;
use route::config::Backend;
use route::config::Config;
use route::config::Engine;
use route::config::Kind;
use route::config::Limits;
use route::config::Route;
use route::config::Scale;
use route::config::Service;
use route::config::Unit;
use route::config::Workspace;
use route::config::ZonePrice;
use route::delta::Delta;

const RECORDED: &str = include_str!("fixture/messages.txt");

#[test]
fn messages_are_encoded_as_other_builds_know_them() {
    let messages = messages();

    let encoded: Vec<String> = messages.iter().map(|(name, it)| line(name, it)).collect();

    assert_eq!(
        encoded.join("\n"),
        RECORDED.trim_end(),
        "the encoding of a message has changed; restore it and add a message of a new version",
    );
}

#[test]
fn recorded_messages_are_decoded() {
    for ((name, message), line) in messages().into_iter().zip(RECORDED.lines()) {
        let hex = line.rsplit(' ').next().unwrap();
        let mut bytes = BytesMut::from(&decode_hex(hex)[..]);

        let decoded = wire::decode(&mut bytes);

        assert_eq!(decoded, Ok(Some(Frame::Front(Box::new(message)))), "{name}");
    }
}

#[test]
fn versions_are_stated_by_ascending_numbers() {
    let versions = [Protocol::Unstated, Protocol::Changes, Protocol::Reads, Protocol::Accounts];

    for (number, version) in versions.into_iter().enumerate() {
        assert_eq!(version.number(), number as u32);
        assert_eq!(Protocol::from_number(number as u32), version);
    }
    assert!(versions.is_sorted());
    assert_eq!(Protocol::from_number(u32::MAX), Protocol::PRESENT);
}

fn line(name: &str, message: &Message) -> String {
    let encoded = wire::encode(&Frame::Front(Box::new(message.clone()))).unwrap();
    let hex: String = encoded.iter().map(|it| format!("{it:02x}")).collect();
    format!("{name} {} {hex}", message.protocol().number())
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let bytes = (0..hex.len()).step_by(2);
    bytes.map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap()).collect()
}

/// Returns a message of each kind, with all fields set.
fn messages() -> Vec<(&'static str, Message)> {
    let to = address();
    let key = origin::Key(7);
    let peers = vec![("front-1#2".to_owned(), address())];
    let digest = Box::new(digest());
    let history = software::Notice {
        covered_ms: Some(1),
        versions: vec![software::Version {
            service: "pool".to_owned(),
            software: "v1".to_owned(),
            age_ms: 2,
        }],
    };
    vec![
        ("digest", Message::Digest { digest, peers, origins: vec![stream()] }),
        ("pull", Message::Pull { to, config_version: 300, roster_version: 70_000 }),
        ("interruptions", Message::Interruptions(vec![interrupted()])),
        (
            "origins",
            Message::Origins {
                daemon: "front-1#2".to_owned(),
                streams: vec![stream()],
                history: Some(history),
            },
        ),
        ("origin_query", Message::OriginQuery { to, key }),
        (
            "origin_reply",
            Message::OriginReply { daemon: "front-1#2".to_owned(), key, known: Some(stream()) },
        ),
        ("push", Message::Push { config: Some(config()), roster: Some(roster()) }),
        ("usage", Message::Usage { daemon: "front-1#2".to_owned(), report: report() }),
        (
            "config_delta",
            Message::ConfigDelta(Box::new(Delta {
                since: 8,
                config: config(),
                removed: vec!["old".to_owned()],
                checksum: 5,
            })),
        ),
        ("reads", Message::Reads(vec![reads::Notice { reader: 66, config: 67, endpoints: 68 }])),
        ("account_question", Message::Accounts(account::Message::Question(question()))),
        ("account_answer", Message::Accounts(account::Message::Answer(answer()))),
        ("account_report", Message::Accounts(account::Message::Report(load_report()))),
    ]
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 14], 8229))
}

fn digest() -> Digest {
    Digest {
        instance_id: "front-1#2".to_owned(),
        address: address(),
        sequence: 3,
        age_ms: 4,
        now_ms: 5,
        config_version: 6,
        roster_version: 7,
        era: 8,
        era_age_ms: Some(9),
        read_age_ms: Some(10),
        uninterrupted_reads_ms: Some(11),
        holder: Some(Holder { address: address(), age_ms: 12 }),
        stopping: true,
        loads: vec![(
            "i-0".to_owned(),
            Load { open_requests: 13, prefill_tokens: 14, held_tokens: 15 },
        )],
        quotas: vec![Quota { workspace: "acme".to_owned(), admitted: 16.5, level: Some(17.5) }],
        usage_report: Some(report()),
        suspects: vec![interrupted()],
        leaving: vec![("i-1".to_owned(), 18)],
        removals: vec![removal::Notice {
            id: "i-2".to_owned(),
            version: 19,
            started_at_ms: 20,
            was_leaving: true,
            restored: Some(21),
        }],
        responses: vec![("pool".to_owned(), 22)],
        unreached: vec!["desk".to_owned()],
        limits: vec![endpoint::Notice {
            endpoint: "i-3".to_owned(),
            instance: 23,
            rate: Some(24.5),
            revision: 25,
        }],
        brittle: vec![room::Notice { service: "pool".to_owned(), survived: 26, age_ms: 27 }],
    }
}

fn report() -> Report {
    Report {
        windows: vec![Window { number: 28, counts: vec![("acme".to_owned(), 29)] }],
        settled: 30,
        work_ms: vec![("pool".to_owned(), 31.5)],
    }
}

fn question() -> account::Question {
    account::Question {
        daemon: "front-1#2".to_owned(),
        to: address(),
        number: 69,
        endpoints: vec!["i-0".to_owned()],
        parts: vec![70],
    }
}

fn answer() -> account::Answer {
    let load = Load { open_requests: 72, prefill_tokens: 73, held_tokens: 74 };
    account::Answer {
        from: address(),
        number: 69,
        states: vec![account::State {
            endpoint: "i-0".to_owned(),
            instance: Instance(71),
            load,
            cached_ms: vec![75],
        }],
    }
}

fn load_report() -> account::Report {
    account::Report {
        daemon: "front-1#2".to_owned(),
        endpoint: "i-0".to_owned(),
        instance: Instance(71),
        load: Load { open_requests: 76, prefill_tokens: 77, held_tokens: 78 },
        parts: vec![79],
    }
}

fn interrupted() -> suspects::Report {
    suspects::Report {
        subject: Subject::Part(32),
        interruptions: vec![suspects::Interruption {
            instance: Instance(33),
            evidence: Evidence::Interrupted,
            age_ms: 34,
        }],
        was_served: true,
        tried_age_ms: Some(35),
    }
}

fn stream() -> origin::Notice {
    origin::Notice {
        key: origin::Key(7),
        origin: origin::Origin {
            service: "pool".to_owned(),
            software: Some("v1".to_owned()),
            instance: Instance(36),
        },
        age_ms: 37,
        lifetime_ms: 38,
    }
}

fn roster() -> Roster {
    Roster {
        version: 39,
        endpoints: vec![Endpoint {
            id: "i-0".to_owned(),
            service: "pool".to_owned(),
            address: address(),
            zone: "a".to_owned(),
            software: "v1".to_owned(),
            slots: 40,
            leaving: true,
            reclaimable: true,
            leaves_ms: Some(41),
            version: 42,
            started_at_ms: 43,
        }],
    }
}

fn config() -> Config {
    Config {
        version: 9,
        routes: vec![Route {
            name: "stream".to_owned(),
            host: "office.example".to_owned(),
            prefix: "/stream/".to_owned(),
            kind: Kind::Stream,
            timeout_ms: 44,
            objective_ms: 45,
            gap_ms: 46,
            priority: 47,
            backends: vec![Backend { service: "pool".to_owned(), weight: 48 }],
            attempts: 49,
            public: true,
            resumable: true,
        }],
        services: vec![Service {
            name: "pool".to_owned(),
            max_connections: 50,
            engine: Some(Engine { slots: 51, memory_tokens: 52, event_tokens: 53 }),
            scale: Some(scale()),
        }],
        limits: Limits { head_bytes: 58, body_bytes: 59, head_ms: 60, idle_ms: 61 },
        workspaces: vec![Workspace {
            name: "acme".to_owned(),
            keys: vec!["key-1".to_owned()],
            priority: Some(62),
            quota: Some(route::config::Quota {
                unit: Unit::Tokens { default_tokens: 63.5 },
                rate: 64.5,
                burst: 65.5,
            }),
        }],
    }
}

fn scale() -> Scale {
    Scale {
        min: 54,
        max: 55,
        boot_ms: 56,
        reclaimable_price: Some(0.25),
        zones: vec![ZonePrice { zone: "a".to_owned(), price: 57.5 }],
    }
}
