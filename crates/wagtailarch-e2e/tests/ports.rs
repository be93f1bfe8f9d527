//! Tests of the allocation of ports.

use std::{
    net::{TcpListener, UdpSocket},
    process::{Command, Stdio},
    thread,
};

use wagtailarch_e2e::{Ports, spawn};

/// Number of processes that each of the threads starts.
const STARTS: usize = 50;

/// Guards against a probe that a process started at the same time inherits: the port is in use
/// until that process executes its program.
#[test]
fn an_allocated_port_is_free_while_processes_start() {
    let ports = Ports::new(Ports::TESTS);
    let start_processes = || {
        for _ in 0..STARTS {
            let mut command = Command::new(env!("CARGO_BIN_EXE_wagtail-demo"));
            command.arg("--help").stdout(Stdio::null());
            let child = spawn(&mut command);
            child.and_then(|mut child| child.wait()).expect("a process");
        }
    };
    let failures = thread::scope(|scope| {
        let starts = [(); 4].map(|()| scope.spawn(start_processes));
        let mut failures = Vec::new();
        while starts.iter().any(|start| !start.is_finished()) {
            let address = ports.allocate().expect("a free port");
            if let Err(error) = TcpListener::bind(address) {
                failures.push(format!("TCP {address}: {error}"));
            }
            if let Err(error) = UdpSocket::bind(address) {
                failures.push(format!("UDP {address}: {error}"));
            }
        }
        failures
    });
    assert!(failures.is_empty(), "{failures:?}");
}
