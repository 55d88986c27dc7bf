//! Runs a fake as a process: `standins platform|engine|service`.
//!
//! Prints `listening on ADDRESS` when ready and runs until SIGINT or SIGTERM.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use standins::engine;
use standins::engine::Config;
use store::vm::Role;
use store::vm::State;
use store::vm::Vm;
use web::server::Server;

/// fakes of the systems around lentilhook, for development and tests
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

/// the platform: table, object store, VM list, reclaim notices
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// delay after which changes appear in the VM list, in milliseconds
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
    /// price in currency units per hour
    #[argh(option, default = "1.0")]
    price: f64,
    /// number of sequences that run concurrently
    #[argh(option, default = "64")]
    slots: usize,
    /// capacity of the prefix cache in blocks
    #[argh(option, default = "4096")]
    cache_blocks: usize,
    /// microseconds between two tokens of a sequence
    #[argh(option, default = "10_000")]
    token_us: u64,
    /// prefill time per prompt token, in microseconds
    #[argh(option, default = "100")]
    prefill_us: u64,
    /// delay of load reports and cache events, in milliseconds
    #[argh(option, default = "500")]
    report_lag_ms: u64,
    /// reject orders with an outdated fencing token
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
    /// price in currency units per hour
    #[argh(option, default = "1.0")]
    price: f64,
    /// reject calls with an outdated fencing token
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
    let config = Config {
        slots: arguments.slots,
        cache_blocks: arguments.cache_blocks,
        token_interval: Duration::from_micros(arguments.token_us),
        prefill_time_per_token: Duration::from_micros(arguments.prefill_us),
        report_lag: Duration::from_millis(arguments.report_lag_ms),
        checks_fence: arguments.checks_fence,
    };
    let server = engine::start(&arguments.listen, config).map_err(|it| it.to_string())?;
    let registration = Registration {
        vm: &arguments.vm,
        incarnation: arguments.incarnation,
        service: &arguments.service,
        zone: &arguments.zone,
        class: "accelerator",
        price_per_hour: arguments.price,
    };
    register(arguments.platform.as_deref(), &server, &registration)?;
    Ok(server)
}

fn start_service(arguments: &Service) -> Result<Server, String> {
    let started = standins::service::start(&arguments.listen, arguments.checks_fence);
    let server = started.map_err(|it| it.to_string())?;
    let registration = Registration {
        vm: &arguments.vm,
        incarnation: arguments.incarnation,
        service: &arguments.service,
        zone: &arguments.zone,
        class: "general",
        price_per_hour: arguments.price,
    };
    register(arguments.platform.as_deref(), &server, &registration)?;
    Ok(server)
}

/// Entry of an endpoint in the platform's VM list.
struct Registration<'a> {
    vm: &'a str,
    incarnation: u64,
    service: &'a str,
    zone: &'a str,
    class: &'a str,
    price_per_hour: f64,
}

/// Adds an endpoint to the platform's VM list, if a platform is given.
fn register(
    platform: Option<&str>,
    server: &Server,
    registration: &Registration<'_>,
) -> Result<(), String> {
    let Some(platform) = platform else { return Ok(()) };
    let vm = Vm {
        id: registration.vm.to_owned(),
        incarnation: registration.incarnation,
        role: Role::Endpoint,
        service: registration.service.to_owned(),
        zone: registration.zone.to_owned(),
        class: registration.class.to_owned(),
        address: server.address.to_string(),
        price_per_hour: registration.price_per_hour,
        reclaimable: true,
        state: State::Live,
    };
    let result = ureq::post(format!("http://{platform}/fake/vm")).send_json(vm);
    result
        .map(|_| ())
        .map_err(|it| format!("could not register the VM with platform {platform}: {it}"))
}
