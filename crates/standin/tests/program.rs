//! The program prints its addresses, serves, and ends when told; the balancer forwards.

mod common;

use common::{
    client,
    post,
    until,
    url, //
};
use googletest::prelude::*;
use serde_json::json;
use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
};
use toucanturn_standin::{
    balancer,
    server::Ports,
    service::{
        self,
        Handle,
        Receipt, //
    },
};

/// `Program` is a running stand-in of the test, ended with it.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn run(arguments: &[&str]) -> Result<(Program, Ports)> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanturn-standin"));
    let mut child = command.args(arguments).stdout(Stdio::piped()).spawn()?;
    let stdout = child.stdout.take().or_fail()?;
    let program = Program(child);
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    let ports: serde_json::Value = serde_json::from_str(&line)?;
    let port = |name: &str| -> Result<SocketAddr> { Ok(ports[name].as_str().or_fail()?.parse()?) };
    Ok((
        program,
        Ports {
            listen: port("listen")?,
            control: port("control")?,
        },
    ))
}

#[gtest]
#[tokio::test]
async fn verify_every_stand_in_prints_its_ports_and_ends_on_a_signal() -> Result<()> {
    for (name, path, signal) in [
        ("platform", "calls", "-TERM"),
        ("engine", "truth", "-INT"),
        ("service", "truth", "-TERM"),
        ("balancer", "ready", "-TERM"),
    ] {
        let (mut program, ports) = run(&[name])?;
        let answer = client().get(url(ports.control, path)).send().await?;
        verify_that!(answer.status(), eq(200))?;
        let id = program.0.id().to_string();
        Command::new("kill").args([signal, &id]).status()?;
        verify_that!(program.0.wait()?.success(), eq(true))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn verify_options_reach_the_stand_in() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("config.json");
    std::fs::write(&path, r#"{"policy": 1, "endpoints": {"eng-1": 2}}"#)?;
    let path = path.to_str().or_fail()?;
    let (_platform, ports) = run(&["platform", "--publish", path])?;
    let all = common::get(ports.listen, "v1/config").await?;
    verify_that!(all["entries"].as_array().map(Vec::len), some(eq(2)))?;

    let (_service, ports) = run(&["service", "--checks-key"])?;
    for replayed in [false, true] {
        let request = client()
            .post(url(ports.listen, "orders"))
            .header("idempotency-key", "k1");
        let headers = request.send().await?.headers().clone();
        verify_that!(headers.contains_key("x-replayed"), eq(replayed))?;
    }

    let (_engine, ports) = run(&[
        "engine",
        "--model",
        "a",
        "--model",
        "b",
        "--fencing",
        "--incarnation",
        "7",
    ])?;
    let load = common::get(ports.listen, "v1/load").await?;
    verify_that!(
        json!([load["models"], load["incarnation"]]),
        eq(&json!([["a", "b"], 7]))
    )?;
    let order = json!({"fence": 0, "kind": "change_role", "role": "decode"});
    let refused = client()
        .post(url(ports.listen, "v1/orders"))
        .json(&order)
        .send()
        .await?;
    verify_that!(refused.status(), eq(409))
}

#[gtest]
#[tokio::test]
async fn verify_a_program_without_a_known_stand_in_fails() -> Result<()> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_toucanturn-standin"));
    verify_that!(command.stderr(Stdio::null()).status()?.success(), eq(false))
}

#[gtest]
#[tokio::test]
async fn verify_the_balancer_takes_turns_and_leaves_out_the_unready() -> Result<()> {
    let services = [
        service::start(Default::default()).await?,
        service::start(Default::default()).await?,
    ];
    let balancer = balancer::start(balancer::Options {
        to: services.iter().map(|service| service.listen).collect(),
        ..Default::default()
    })
    .await?;
    let ready = |services: &[&Handle]| {
        let mut addresses: Vec<_> = services.iter().map(|service| service.listen).collect();
        addresses.sort();
        move |ready: &serde_json::Value| *ready == json!(addresses)
    };
    until(
        balancer.control,
        "ready",
        ready(&[&services[0], &services[1]]),
    )
    .await?;
    let call = async |id: &str| -> Result<Receipt> {
        let request = client()
            .post(url(balancer.listen, "orders"))
            .header("x-request-id", id);
        Ok(request.send().await?.json().await?)
    };
    for _ in 0..4 {
        call("turns").await?;
    }
    for service in &services {
        let runs = common::get(service.control, "truth").await?["runs"]["turns"].clone();
        verify_that!(runs, eq(&json!(2)))?;
    }
    post(services[0].control, "leave", json!({})).await?;
    until(balancer.control, "ready", ready(&[&services[1]])).await?;
    for _ in 0..3 {
        call("left").await?;
    }
    let runs = common::get(services[1].control, "truth").await?["runs"]["left"].clone();
    verify_that!(runs, eq(&json!(3)))
}
