//! `lentilhook admin`: calls of the administration API.

mod edit;
mod kind;
mod table;

use std::fs;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use admin::client::Client;
use admin::error::Code;
use admin::error::Error;
use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use self::kind::Kind;
use self::kind::Listing;
use crate::command::Failure;

/// Time between two looks at the configuration by `watch`.
const WATCH_POLL: Duration = Duration::from_secs(1);

/// call the administration API of a daemon
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "admin",
    example = "{command_name} --address 10.0.0.4:8081 --token-file operator.token \\\n    \
               create workspace office token-file=office.token",
    note = "FIELD=VALUE sets a field of an object; several values of a list are separated by commas. \
            token-file=PATH of a workspace adds the sum of the token in a file."
)]
pub struct Admin {
    /// address of the daemon's operators' port
    #[argh(option)]
    address: String,
    /// file with the operator's token
    #[argh(option)]
    token_file: PathBuf,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Create(Create),
    Change(Change),
    Delete(Delete),
    Show(Show),
    List(List),
    Watch(Watch),
    Drain(Drain),
    LogLevel(LogLevel),
    Call(Call),
}

/// create a workspace, service or rule
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
struct Create {
    /// workspace, service or rule
    #[argh(positional)]
    kind: Kind,
    /// name of the object
    #[argh(positional)]
    name: String,
    /// FIELD=VALUE
    #[argh(positional)]
    fields: Vec<String>,
}

/// change fields of a workspace, service or rule
#[derive(FromArgs)]
#[argh(subcommand, name = "change")]
struct Change {
    /// workspace, service or rule
    #[argh(positional)]
    kind: Kind,
    /// name of the object
    #[argh(positional)]
    name: String,
    /// FIELD=VALUE
    #[argh(positional)]
    fields: Vec<String>,
    /// revision that the object must have; that in force when not given
    #[argh(option)]
    revision: Option<u64>,
}

/// delete a workspace, service or rule
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
struct Delete {
    /// workspace, service or rule
    #[argh(positional)]
    kind: Kind,
    /// name of the object
    #[argh(positional)]
    name: String,
    /// revision that the object must have; that in force when not given
    #[argh(option)]
    revision: Option<u64>,
}

/// show one workspace, service or rule
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// workspace, service or rule
    #[argh(positional)]
    kind: Kind,
    /// name of the object
    #[argh(positional)]
    name: String,
}

/// list workspaces, services, rules, vms, endpoints, daemons, leases or revisions
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// what to list
    #[argh(positional)]
    what: Listing,
}

/// print each change of the configuration as it comes in force
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct Watch {
    /// end after this many changes
    #[argh(option)]
    changes: Option<u64>,
}

/// start a graceful shutdown of the daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {}

/// change the least severe log level of the daemon: error, warn, info or debug
#[derive(FromArgs)]
#[argh(subcommand, name = "log-level")]
struct LogLevel {
    /// error, warn, info or debug
    #[argh(positional)]
    level: String,
}

/// call a method of the schema with a JSON request
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
struct Call {
    /// method, such as PutWorkspace
    #[argh(positional)]
    method: String,
    /// request as JSON
    #[argh(positional, default = "String::from(\"{}\")")]
    request: String,
}

/// Carries out an action and prints its answer.
pub fn run(arguments: &Admin) -> Result<(), Failure> {
    let path = &arguments.token_file;
    let token = fs::read_to_string(path)
        .map_err(|it| Failure::usage(format!("{}: {it}; give the token's file", path.display())))?;
    let api = Api { client: Client::new(&arguments.address, token.trim()), json: arguments.json };
    match &arguments.action {
        Action::Create(it) => {
            let object = edit::apply(it.kind, it.kind.template(&it.name), &it.fields)?;
            api.put(it.kind, &it.name, &object, 0)
        }
        Action::Change(it) => {
            let current = api.object(it.kind, &it.name)?;
            let revision = it.revision.unwrap_or(revision_of(&current));
            let object = edit::apply(it.kind, current, &it.fields)?;
            api.put(it.kind, &it.name, &object, revision)
        }
        Action::Delete(it) => {
            let revision = match it.revision {
                Some(revision) => revision,
                None => revision_of(&api.object(it.kind, &it.name)?),
            };
            let request = json!({
                "kind": it.kind.word(), "name": it.name, "expected_revision": revision,
            });
            let answer = api.call("Delete", &request);
            api.applied(it.kind, &it.name, answer)
        }
        Action::Show(it) => api.print(&[api.object(it.kind, &it.name)?]),
        Action::List(it) => api.print(&api.list(it.what)?),
        Action::Watch(it) => api.watch(it.changes.unwrap_or(u64::MAX)),
        Action::Drain(_) => api.print(&[api.call("Drain", &json!({}))?]),
        Action::LogLevel(it) => {
            api.call("SetLogLevel", &json!({ "level": it.level }))?;
            Ok(())
        }
        Action::Call(it) => {
            println!("{}", api.client.call_raw(&it.method, it.request.as_bytes())?);
            Ok(())
        }
    }
}

struct Api {
    client: Client,
    json: bool,
}

impl Api {
    fn call(&self, method: &str, request: &Value) -> Result<Value, Error> {
        let text = self.client.call_raw(method, request.to_string().as_bytes())?;
        serde_json::from_str(&text).map_err(|it| Error::new(Code::Unknown, it.to_string()))
    }

    fn list(&self, what: Listing) -> Result<Vec<Value>, Failure> {
        let answer = self.call(what.method(), &json!({}))?;
        let mut objects = answer[what.field()].as_array().cloned().unwrap_or_default();
        objects.retain(|it| what.holds(it));
        if what == Listing::Revisions {
            return Ok(vec![json!({ "revision": answer["revision"] })]);
        }
        Ok(objects)
    }

    fn object(&self, kind: Kind, name: &str) -> Result<Value, Failure> {
        let objects = self.list(kind.listing())?;
        let found = objects.into_iter().find(|it| it["name"] == name);
        found.ok_or_else(|| {
            Failure::usage(format!("there is no {} {name:?}; list {}s", kind.word(), kind.word()))
        })
    }

    fn put(&self, kind: Kind, name: &str, object: &Value, revision: u64) -> Result<(), Failure> {
        let request = json!({ kind.word(): object, "expected_revision": revision });
        let answer = self.call(kind.put_method(), &request);
        self.applied(kind, name, answer)
    }

    /// Prints the revision of a change, or what is in force when it raced.
    fn applied(&self, kind: Kind, name: &str, answer: Result<Value, Error>) -> Result<(), Failure> {
        let error = match answer {
            Ok(applied) => return self.print(&[applied]),
            Err(error) => error,
        };
        if let Some(current) = &error.meta.current_revision {
            eprintln!("in force is revision {current} of {} {name}:", kind.word());
            if let Ok(object) = self.object(kind, name) {
                eprint!("{}", table::render(&[object]));
            }
        }
        Err(error.into())
    }

    fn watch(&self, changes: u64) -> Result<(), Failure> {
        let mut known = self.revisions()?;
        let mut seen = 0;
        while seen < changes {
            thread::sleep(WATCH_POLL);
            let newer = self.revisions()?;
            for (name, object) in &newer {
                if known.get(name) != Some(object) {
                    seen += 1;
                    println!("{name}\t{object}");
                }
            }
            for name in known.keys().filter(|it| !newer.contains_key(*it)) {
                seen += 1;
                println!("{name}\tdeleted");
            }
            known = newer;
        }
        Ok(())
    }

    fn revisions(&self) -> Result<std::collections::BTreeMap<String, Value>, Failure> {
        let mut found = std::collections::BTreeMap::new();
        for kind in Kind::ALL {
            for object in self.list(kind.listing())? {
                let name = object["name"].as_str().unwrap_or_default();
                found.insert(format!("{} {name}", kind.word()), object);
            }
        }
        Ok(found)
    }

    fn print(&self, objects: &[Value]) -> Result<(), Failure> {
        if self.json {
            objects.iter().for_each(|it| println!("{it}"));
        } else {
            print!("{}", table::render(objects));
        }
        Ok(())
    }
}

fn revision_of(object: &Value) -> u64 {
    object["revision"].as_u64().unwrap_or(0)
}
