//! The stand-ins as processes: `standins platform|engine|service`.
//!
//! Prints `listening on ADDRESS` when ready and runs until it is ended.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use standins::engine;
use standins::engine::Shape;
use store::vm::Role;
use store::vm::State;
use store::vm::Vm;
use web::server::Server;

/// small stand-ins of the systems around lentilhook, for development and tests
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(Platform),
    Engine(Engine),
    Service(Service),
}

/// the platform: table, object store, VM list, notices
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// delay of the VM list, in milliseconds
    #[argh(option, default = "500")]
    lag_ms: u64,
}

/// a model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// address of the platform in whose VM list to appear
    #[argh(option)]
    platform: Option<String>,
    /// name of the VM
    #[argh(option, default = "String::from(\"engine\")")]
    vm: String,
    /// incarnation of the VM
    #[argh(option, default = "1")]
    incarnation: u64,
    /// service that the VM runs
    #[argh(option, default = "String::from(\"assistant\")")]
    service: String,
    /// availability zone
    #[argh(option, default = "String::from(\"zone-a\")")]
    zone: String,
    /// price in currency units an hour
    #[argh(option, default = "1.0")]
    price: f64,
    /// sequences that run at once
    #[argh(option, default = "64")]
    slots: usize,
    /// blocks in the prefix cache
    #[argh(option, default = "4096")]
    cache_blocks: usize,
    /// microseconds between two tokens of a sequence
    #[argh(option, default = "10_000")]
    token_us: u64,
    /// microseconds to compute one token of a prompt
    #[argh(option, default = "100")]
    prefill_us: u64,
    /// delay of load reports and cache events, in milliseconds
    #[argh(option, default = "500")]
    report_lag_ms: u64,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    checks_fence: bool,
}

/// a plain service
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct Service {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// address of the platform in whose VM list to appear
    #[argh(option)]
    platform: Option<String>,
    /// name of the VM
    #[argh(option, default = "String::from(\"service\")")]
    vm: String,
    /// incarnation of the VM
    #[argh(option, default = "1")]
    incarnation: u64,
    /// service that the VM runs
    #[argh(option, default = "String::from(\"registry\")")]
    service: String,
    /// availability zone
    #[argh(option, default = "String::from(\"zone-a\")")]
    zone: String,
    /// price in currency units an hour
    #[argh(option, default = "1.0")]
    price: f64,
    /// refuse calls with an old fencing number
    #[argh(switch)]
    checks_fence: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let started = match arguments.command {
        Command::Platform(it) => start_platform(&it),
        Command::Engine(it) => start_engine(&it),
        Command::Service(it) => start_service(&it),
    };
    match started {
        Ok(server) => run(&server),
        Err(message) => {
            eprintln!("standins: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(server: &Server) -> ExitCode {
    println!("listening on {}", server.address);
    match Signals::new([SIGINT, SIGTERM]) {
        Ok(mut signals) => {
            signals.forever().next();
            ExitCode::SUCCESS
        }
        Err(_) => ExitCode::FAILURE,
    }
}

fn start_platform(arguments: &Platform) -> Result<Server, String> {
    let lag = Duration::from_millis(arguments.lag_ms);
    standins::platform::start(&arguments.listen, lag).map_err(|it| it.to_string())
}

fn start_engine(arguments: &Engine) -> Result<Server, String> {
    let shape = Shape {
        slots: arguments.slots,
        cache_blocks: arguments.cache_blocks,
        token_time: Duration::from_micros(arguments.token_us),
        prefill_time: Duration::from_micros(arguments.prefill_us),
        report_lag: Duration::from_millis(arguments.report_lag_ms),
        checks_fence: arguments.checks_fence,
    };
    let server = engine::start(&arguments.listen, shape).map_err(|it| it.to_string())?;
    let place = Place {
        vm: &arguments.vm,
        incarnation: arguments.incarnation,
        service: &arguments.service,
        zone: &arguments.zone,
        class: "accelerator",
        price_per_hour: arguments.price,
    };
    register(arguments.platform.as_deref(), &server, &place)?;
    Ok(server)
}

fn start_service(arguments: &Service) -> Result<Server, String> {
    let started = standins::service::start(&arguments.listen, arguments.checks_fence);
    let server = started.map_err(|it| it.to_string())?;
    let place = Place {
        vm: &arguments.vm,
        incarnation: arguments.incarnation,
        service: &arguments.service,
        zone: &arguments.zone,
        class: "general",
        price_per_hour: arguments.price,
    };
    register(arguments.platform.as_deref(), &server, &place)?;
    Ok(server)
}

/// Where an endpoint stands in the platform's VM list.
struct Place<'a> {
    vm: &'a str,
    incarnation: u64,
    service: &'a str,
    zone: &'a str,
    class: &'a str,
    price_per_hour: f64,
}

fn register(platform: Option<&str>, server: &Server, place: &Place<'_>) -> Result<(), String> {
    let Some(platform) = platform else { return Ok(()) };
    let vm = Vm {
        id: place.vm.to_owned(),
        incarnation: place.incarnation,
        role: Role::Endpoint,
        service: place.service.to_owned(),
        zone: place.zone.to_owned(),
        class: place.class.to_owned(),
        address: server.address.to_string(),
        price_per_hour: place.price_per_hour,
        reclaimable: true,
        state: State::Live,
    };
    let sent = ureq::post(format!("http://{platform}/fake/vm")).send_json(vm);
    sent.map(|_| ()).map_err(|it| format!("platform {platform} did not take the VM: {it}"))
}
