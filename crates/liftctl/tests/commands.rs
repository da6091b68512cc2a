//! Guards against wrong exit codes, changes made twice after a lost answer, and commands of
//! the documentation that do not work. Runs the `liftctl` binary against an administration
//! API in this process.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../../lift_admin/tests/support/mod.rs"]
mod support;

use std::{fs, net, process, sync, time};

struct Setup {
    control: sync::Arc<support::FakeControl>,
    admin: lift_admin::Admin,
    dir: tempfile::TempDir,
}

impl Setup {
    async fn new() -> Self {
        let control = support::FakeControl::new();
        let admin = support::start(&control).await;
        let dir = tempfile::tempdir().unwrap();
        Self {
            control,
            admin,
            dir,
        }
    }

    /// Runs `liftctl` with `--json`; returns the exit code and the value that it printed.
    async fn run(&self, args: &str) -> (i32, serde_json::Value) {
        let server = format!("http://{}", self.admin.addr());
        self.run_with(&["--server", &server, "--json"], args).await
    }

    async fn run_with(&self, options: &[&str], args: &str) -> (i32, serde_json::Value) {
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_liftctl"));
        command.args(options).current_dir(self.dir.path());
        // An underscore stands for a space within an argument.
        command.args(args.split(' ').map(|arg| arg.replace('_', " ")));
        let output: process::Output = command.output().await.unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let last = text.lines().last().unwrap_or("null");
        let value = serde_json::from_str(last).unwrap_or(serde_json::Value::Null);
        (output.status.code().unwrap(), value)
    }
}

#[tokio::test]
async fn commands_and_exit_codes() {
    let setup = Setup::new().await;
    fs::write(setup.dir.path().join("w"), vec![7_u8; 5_000]).unwrap();
    let cases = [
        (
            "version publish --file w --name v1 --chunk-size 1024",
            0,
            "/chunks",
            "5",
        ),
        (
            "version publish --file w --name v2",
            0,
            "/version",
            "\"v2\"",
        ),
        (
            "version publish --file gone --name v3",
            2,
            "/exit_code",
            "2",
        ),
        ("version list", 0, "/1/version", "\"v2\""),
        (
            "default set --version v1 --reason first",
            0,
            "/revision",
            "1",
        ),
        (
            "default set --version v1 --reason again",
            0,
            "/result",
            "\"unchanged\"",
        ),
        ("default set --version v2 --reason _", 2, "", "null"),
        ("default set --reason nothing", 2, "/exit_code", "2"),
        (
            "default set --version v2 --dry-run --reason look",
            0,
            "/result",
            "\"dry_run\"",
        ),
        (
            "default set --version v9 --dry-run --reason look",
            2,
            "/exit_code",
            "2",
        ),
        (
            "default set --version v2 --floor 60 --reason two",
            0,
            "/revision",
            "2",
        ),
        (
            "default set --version v1 --expect 1 --reason late",
            3,
            "/exit_code",
            "3",
        ),
        (
            "exception add --scope region:piedmont --version v1 --reason freeze",
            0,
            "/revision",
            "3",
        ),
        (
            "exception add --scope region:piedmont --version v1 --reason _",
            2,
            "",
            "null",
        ),
        (
            "exception add --scope piedmont --version v1 --reason x",
            2,
            "",
            "null",
        ),
        (
            "exception add --scope region:piedmont --reason x",
            2,
            "/exit_code",
            "2",
        ),
        (
            "exception add --scope workspace:liitto --priority urgent --reason x",
            0,
            "/revision",
            "4",
        ),
        (
            "exception add --scope workspace:liitto --weight 3 --reason x",
            0,
            "/revision",
            "5",
        ),
        (
            "exception remove version@region:piedmont --reason thaw",
            0,
            "/revision",
            "6",
        ),
        ("policy show", 0, "/default/version", "\"v2\""),
        ("rollout status", 0, "/serving", "1"),
        ("members", 0, "/3/place/host", "4"),
        ("drain 2", 0, "/host", "2"),
        ("drain 9", 2, "/exit_code", "2"),
        ("audit --after 5", 0, "/0/reason", "\"thaw\""),
        (
            "token new --name anna --role operator --file tokens.json",
            0,
            "/role",
            "\"operator\"",
        ),
        ("completions bash", 0, "/shell", "\"bash\""),
        ("colour", 2, "", "null"),
    ];
    for (args, code, pointer, expected) in cases {
        let (found, value) = setup.run(args).await;
        assert_eq!(found, code, "{args}: {value}");
        let field = value.pointer(pointer).cloned().unwrap_or_default();
        assert_eq!(field.to_string(), expected, "{args}: {value}");
    }
    let closed = ["--json", "--server", "http://127.0.0.1:9"];
    assert_eq!(setup.run_with(&closed, "members").await.0, 4);
}

/// Guards against an apply that undoes a change made after the export.
#[tokio::test]
async fn export_diff_and_apply() {
    let setup = Setup::new().await;
    setup.run("default set --floor 70 --reason base").await;
    assert_eq!(setup.run("policy export p.json").await.0, 0);
    let file = setup.dir.path().join("p.json");
    let text = fs::read_to_string(&file).unwrap();
    fs::write(&file, text.replace("percent\": 70", "percent\": 80")).unwrap();
    let (_, diff) = setup.run("policy diff p.json").await;
    assert_eq!(
        diff["diff"][0],
        "~ default.activation_floor_percent: 70 -> 80"
    );
    let (code, _) = setup
        .run("policy apply p.json --dry-run --reason look")
        .await;
    assert_eq!((code, setup.control.changes()), (0, 1));
    assert_eq!(setup.run("policy apply p.json --reason raise").await.0, 0);
    assert_eq!(setup.control.policy().default.activation_floor_percent, 80);
    let (code, _) = setup.run("default set --floor 50 --reason other").await;
    assert_eq!(code, 0);
    assert_eq!(setup.run("policy apply p.json --reason late").await.0, 3);
}

/// Guards against a change that is made twice, or reported as failed, after a lost answer.
#[tokio::test]
async fn lost_answers_are_repeated() {
    let setup = Setup::new().await;
    for (i, fault) in [support::Fault::LoseAnswer, support::Fault::Unavailable]
        .into_iter()
        .enumerate()
    {
        setup.control.fail_next(fault);
        let args = format!("default set --floor {} --reason {i}", 60 + i);
        let (code, value) = setup.run(&args).await;
        assert_eq!(code, 0, "{fault:?}: {value}");
        assert_eq!(setup.control.changes(), i + 1, "{fault:?}");
    }
}

/// Guards against a TLS listener that clients can't use, and against one that they use
/// without checking its certificate.
#[tokio::test]
async fn tls_certificates_are_checked() {
    let setup = Setup::new().await;
    let dir = setup.dir.path();
    let mut addrs = Vec::new();
    let mut admins = Vec::new();
    for name in ["a", "b"] {
        let cert = rcgen::generate_simple_self_signed([String::from("127.0.0.1")]).unwrap();
        let (pem, key) = (
            dir.join(format!("{name}.pem")),
            dir.join(format!("{name}.key")),
        );
        fs::write(&pem, cert.cert.pem()).unwrap();
        fs::write(&key, cert.signing_key.serialize_pem()).unwrap();
        let builder = support::builder(&setup.control).tls(pem, key);
        let admin = builder.start(support::any_port()).await.unwrap();
        addrs.push(format!("https://{}", admin.addr()));
        admins.push(admin);
    }
    let good = ["--json", "--server", addrs[0].as_str(), "--ca", "a.pem"];
    assert_eq!(setup.run_with(&good, "members").await.0, 0);
    let wrong = ["--json", "--server", addrs[1].as_str(), "--ca", "a.pem"];
    assert_eq!(setup.run_with(&wrong, "members").await.0, 4);
    let plain = addrs[0].replace("https", "http");
    let plain = ["--json", "--server", plain.as_str()];
    assert_eq!(setup.run_with(&plain, "members").await.0, 4);
}

/// Guards against a stop that hangs on an idle connection.
#[tokio::test]
async fn stop_ends_idle_connections() {
    let setup = Setup::new().await;
    let addr: net::SocketAddr = setup.admin.addr();
    let idle = tokio::net::TcpStream::connect(addr).await.unwrap();
    let started = time::Instant::now();
    setup.admin.stop(time::Duration::from_secs(5)).await;
    assert!(started.elapsed() < time::Duration::from_secs(4));
    drop(idle);
}
