//! `lentilhook admin`: calls to the administration API of a daemon.

mod edit;
mod kind;
mod table;

use std::collections::BTreeMap;
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

/// Interval at which `watch` polls the configuration.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// call the administration API of a daemon
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "admin",
    example = "{command_name} --address 10.0.0.4:8081 --token-file operator.token \\\n    \
               create workspace office token-file=office.token",
    note = "FIELD=VALUE sets a field of an object; the values of a list are separated by commas. \
            For a workspace, token-file=PATH adds the hash of the token in a file."
)]
pub struct Admin {
    /// address of the daemon's operator port
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
    /// revision that the object must have; by default its current one
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
    /// revision that the object must have; by default its current one
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

/// print each configuration change as it takes effect
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
struct Watch {
    /// exit after this many changes
    #[argh(option)]
    changes: Option<u64>,
}

/// start a graceful shutdown of the daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {}

/// set the log level of the daemon: error, warn, info or debug
#[derive(FromArgs)]
#[argh(subcommand, name = "log-level")]
struct LogLevel {
    /// least severe level to log: error, warn, info or debug
    #[argh(positional)]
    level: String,
}

/// call an API method with a JSON request
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
struct Call {
    /// name of the method, such as PutWorkspace
    #[argh(positional)]
    method: String,
    /// request as JSON
    #[argh(positional, default = "String::from(\"{}\")")]
    request: String,
}

/// Runs an admin action and prints the response.
pub fn run(arguments: &Admin) -> Result<(), Failure> {
    let path = &arguments.token_file;
    let token = fs::read_to_string(path).map_err(|it| {
        Failure::usage(format!("{}: {it}; pass the path of the token file", path.display()))
    })?;
    let api = Api { client: Client::new(&arguments.address, token.trim()), json: arguments.json };
    match &arguments.action {
        Action::Create(it) => {
            let object = edit::apply(it.kind, it.kind.template(&it.name), &it.fields)?;
            api.put(it.kind, &it.name, &object, 0)
        }
        Action::Change(it) => {
            let current = api.find_object(it.kind, &it.name)?;
            let revision = it.revision.unwrap_or(revision(&current));
            let object = edit::apply(it.kind, current, &it.fields)?;
            api.put(it.kind, &it.name, &object, revision)
        }
        Action::Delete(it) => {
            let revision = match it.revision {
                Some(revision) => revision,
                None => revision(&api.find_object(it.kind, &it.name)?),
            };
            let request = json!({
                "kind": it.kind.as_str(), "name": it.name, "expected_revision": revision,
            });
            let response = api.call("Delete", &request);
            api.print_applied(it.kind, &it.name, response)
        }
        Action::Show(it) => api.print(&[api.find_object(it.kind, &it.name)?]),
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

    fn list(&self, listing: Listing) -> Result<Vec<Value>, Failure> {
        let response = self.call(listing.method(), &json!({}))?;
        let mut objects = response[listing.field()].as_array().cloned().unwrap_or_default();
        objects.retain(|it| listing.includes(it));
        if listing == Listing::Revisions {
            return Ok(vec![json!({ "revision": response["revision"] })]);
        }
        Ok(objects)
    }

    fn find_object(&self, kind: Kind, name: &str) -> Result<Value, Failure> {
        let objects = self.list(kind.listing())?;
        let found = objects.into_iter().find(|it| it["name"] == name);
        found.ok_or_else(|| {
            let kind = kind.as_str();
            Failure::usage(format!(
                "no {kind} is named {name:?}; list the {kind}s to see their names"
            ))
        })
    }

    fn put(&self, kind: Kind, name: &str, object: &Value, revision: u64) -> Result<(), Failure> {
        let request = json!({ kind.as_str(): object, "expected_revision": revision });
        let response = self.call(kind.put_method(), &request);
        self.print_applied(kind, name, response)
    }

    /// Prints the response to a change.
    ///
    /// If the change conflicted with another one, prints the current object and returns the error.
    fn print_applied(
        &self,
        kind: Kind,
        name: &str,
        response: Result<Value, Error>,
    ) -> Result<(), Failure> {
        let error = match response {
            Ok(applied) => return self.print(&[applied]),
            Err(error) => error,
        };
        if let Some(current) = &error.meta.current_revision {
            eprintln!("the current revision of {} {name} is {current}:", kind.as_str());
            if let Ok(object) = self.find_object(kind, name) {
                eprint!("{}", table::render(&[object]));
            }
        }
        Err(error.into())
    }

    fn watch(&self, changes: u64) -> Result<(), Failure> {
        let mut previous = self.objects_by_name()?;
        let mut count = 0;
        while count < changes {
            thread::sleep(WATCH_INTERVAL);
            let current = self.objects_by_name()?;
            for (name, object) in &current {
                if previous.get(name) != Some(object) {
                    count += 1;
                    println!("{name}\t{object}");
                }
            }
            for name in previous.keys().filter(|it| !current.contains_key(*it)) {
                count += 1;
                println!("{name}\tdeleted");
            }
            previous = current;
        }
        Ok(())
    }

    /// Returns all configuration objects by kind and name.
    fn objects_by_name(&self) -> Result<BTreeMap<String, Value>, Failure> {
        let mut objects = BTreeMap::new();
        for kind in Kind::ALL {
            for object in self.list(kind.listing())? {
                let name = object["name"].as_str().unwrap_or_default();
                objects.insert(format!("{} {name}", kind.as_str()), object);
            }
        }
        Ok(objects)
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

fn revision(object: &Value) -> u64 {
    object["revision"].as_u64().unwrap_or(0)
}
