//! Team limits of an instance.

use std::time::Duration;

use wagtailarch_fleet::Team;
use wagtailarch_traffic::{Admission, AdmitRequest, GroupCapacity};
use wagtailarch_types::Priority;

use crate::capacity::config::teams;
use crate::capacity::measurement::NODE_MEMORY_BYTES;
use crate::capacity::probe::{call_us, resident_bytes};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const NOW: Duration = Duration::from_secs(100);
const TEAMS: &[u32] = &[1_000, 4_000, 8_000, 16_000, 29_000, 58_000];

/// Slopes of team limits.
pub(crate) const SLOPES: &[Measurement] = &[
    Measurement {
        name: "admission-update-cpu",
        quantity: "us of an instance to take over the teams of a configuration",
        size_of: "teams",
        sizes: TEAMS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: update_cpu,
    },
    Measurement {
        name: "admission-cpu",
        quantity: "us of the data path to admit and finish one request",
        size_of: "teams",
        sizes: TEAMS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: admit_cpu,
    },
    Measurement {
        name: "admission-memory",
        quantity: "resident bytes of the team limits",
        size_of: "teams",
        sizes: TEAMS,
        design_size: DESIGN_SIZE.teams,
        target: Some(NODE_MEMORY_BYTES),
        own_process: true,
        measure: memory,
    },
    Measurement {
        name: "heaviest-cpu",
        quantity: "us of an instance to find its 60 heaviest teams",
        size_of: "teams active within 5 s",
        sizes: &[64, 256, 1_024, 4_096, 16_384],
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: heaviest_cpu,
    },
];

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

fn capacity() -> [GroupCapacity; 1] {
    [GroupCapacity {
        group: "fedel-lm".into(),
        backends: 292,
        slots: 1_000_000,
        running: 0,
        queued_tokens: 0,
        prefill_tokens_per_s: 3e9,
        token_interval: Duration::from_millis(40),
    }]
}

/// Returns teams whose limits are never reached.
fn wide_teams(size: u32) -> Vec<Team> {
    let widen = |team: Team| Team {
        requests_per_s: 1e6,
        tokens_per_s: 1e9,
        ..team
    };
    teams(size).into_iter().map(widen).collect()
}

fn admission(size: u32) -> Admission {
    let admission = Admission::new(1);
    admission.update(
        NOW,
        &wide_teams(size),
        DESIGN_SIZE.instances as u32,
        &capacity(),
    );
    admission
}

fn requests(size: u32) -> Vec<AdmitRequest> {
    let request = |number: u32, name| AdmitRequest {
        team: name,
        group: "fedel-lm".into(),
        request_id: u128::from(number),
        priority: Priority::Normal,
        deadline: Some(Duration::from_secs(30)),
        prompt_tokens: 8,
        max_tokens: 2,
    };
    let teams = teams(size).into_iter().zip(0..);
    teams
        .map(|(team, number)| request(number, team.name))
        .collect()
}

fn update_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (admission, teams) = (admission(size), teams(size));
    let us = call_us(2, || {
        admission.update(NOW, &teams, DESIGN_SIZE.instances as u32, &capacity());
    });
    point(size, us)
}

fn admit_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (admission, requests) = (admission(size), requests(size));
    let mut calls: u32 = 0;
    let mut refused = 0;
    let us = call_us(20_000, || {
        calls += 1;
        // A step that is coprime to the sizes visits the teams out of order, and time passes, so
        // that no limit is reached.
        let at = calls as usize * 7_919 % requests.len();
        let now = NOW + Duration::from_millis(u64::from(calls));
        refused += u32::from(admission.admit(now, &requests[at]).is_err());
    });
    if refused > 0 {
        return Err(CapacityError::MeasuredCode(format!("{refused} refusals")));
    }
    point(size, us)
}

fn memory(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let teams = teams(size);
    let bytes = resident_bytes(2, |_| {
        let admission = Admission::new(1);
        admission.update(NOW, &teams, DESIGN_SIZE.instances as u32, &capacity());
        admission
    })?;
    point(size, bytes)
}

fn heaviest_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let admission = admission(size);
    for request in requests(size) {
        admission
            .admit(NOW, &request)
            .map_err(CapacityError::measured)?;
    }
    let us = call_us(5, || drop(admission.top_teams(60)));
    point(size, us)
}
