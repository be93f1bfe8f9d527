//! Costs of the team limits at an instance.

use std::time::Duration;

use wagtailarch_fleet::Team;
use wagtailarch_traffic::{Admission, AdmitRequest, GroupCapacity};
use wagtailarch_types::Priority;

use crate::capacity::config::generate_teams;
use crate::capacity::measurement::INSTANCE_MEMORY_BYTES;
use crate::capacity::probe::{cpu_us_per_call, resident_bytes_per_copy};
use crate::capacity::{CapacityError, DESIGN_SIZE, Measurement, Point};

const NOW: Duration = Duration::from_secs(100);
const TEAM_COUNTS: &[u32] = &[1_000, 4_000, 8_000, 16_000, 29_000, 58_000];

/// Measurements of team limits.
pub(crate) const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "admission-update-cpu",
        quantity: "us of an instance to take over the teams of a configuration",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: update_cpu,
    },
    Measurement {
        name: "admission-cpu",
        quantity: "us of the data path to admit and finish one request",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: admit_cpu,
    },
    Measurement {
        name: "admission-memory",
        quantity: "resident bytes of the team limits",
        size_of: "teams",
        sizes: TEAM_COUNTS,
        design_size: DESIGN_SIZE.teams,
        target: Some(INSTANCE_MEMORY_BYTES),
        own_process: true,
        measure: memory_bytes,
    },
    Measurement {
        name: "heaviest-cpu",
        quantity: "us of an instance to find its 60 heaviest teams",
        size_of: "teams active within 5 s",
        sizes: &[64, 256, 1_024, 4_096, 16_384],
        design_size: DESIGN_SIZE.teams,
        target: None,
        own_process: false,
        measure: top_teams_cpu,
    },
];

fn point(size: u32, y: f64) -> Result<Point, CapacityError> {
    Ok(Point {
        x: f64::from(size),
        y,
    })
}

/// Returns a group whose capacity is never reached.
fn group_capacity() -> [GroupCapacity; 1] {
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

/// Creates `size` teams with limits that are never reached.
fn unlimited_teams(size: u32) -> Vec<Team> {
    let raise_limits = |team: Team| Team {
        requests_per_s: 1e6,
        tokens_per_s: 1e9,
        ..team
    };
    generate_teams(size).into_iter().map(raise_limits).collect()
}

/// Creates an admission control with `size` teams.
fn new_admission(size: u32) -> Admission {
    let admission = Admission::new(1);
    admission.update(
        NOW,
        &unlimited_teams(size),
        DESIGN_SIZE.instances as u32,
        &group_capacity(),
    );
    admission
}

/// Creates one request of each of `size` teams.
fn new_requests(size: u32) -> Vec<AdmitRequest> {
    let request = |number: u32, name| AdmitRequest {
        team: name,
        group: "fedel-lm".into(),
        request_id: u128::from(number),
        priority: Priority::Normal,
        deadline: Some(Duration::from_secs(30)),
        prompt_tokens: 8,
        max_tokens: 2,
    };
    let teams = generate_teams(size).into_iter().zip(0..);
    teams
        .map(|(team, number)| request(number, team.name))
        .collect()
}

fn update_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (admission, teams) = (new_admission(size), generate_teams(size));
    let cpu_us = cpu_us_per_call(2, || {
        admission.update(NOW, &teams, DESIGN_SIZE.instances as u32, &group_capacity());
    });
    point(size, cpu_us)
}

fn admit_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let (admission, requests) = (new_admission(size), new_requests(size));
    let mut calls: u32 = 0;
    let mut refusals = 0;
    let cpu_us = cpu_us_per_call(20_000, || {
        calls += 1;
        // A step that is coprime to the sizes visits the teams out of order. The time advances so
        // that no limit is reached.
        let index = calls as usize * 7_919 % requests.len();
        let now = NOW + Duration::from_millis(u64::from(calls));
        refusals += u32::from(admission.admit(now, &requests[index]).is_err());
    });
    if refusals > 0 {
        return Err(CapacityError::MeasuredCode(format!("{refusals} refusals")));
    }
    point(size, cpu_us)
}

fn memory_bytes(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let teams = generate_teams(size);
    let bytes = resident_bytes_per_copy(2, |_| {
        let admission = Admission::new(1);
        admission.update(NOW, &teams, DESIGN_SIZE.instances as u32, &group_capacity());
        admission
    })?;
    point(size, bytes)
}

fn top_teams_cpu(size: u32, _seed: u64) -> Result<Point, CapacityError> {
    let admission = new_admission(size);
    for request in new_requests(size) {
        admission
            .admit(NOW, &request)
            .map_err(CapacityError::measured_code)?;
    }
    let cpu_us = cpu_us_per_call(5, || drop(admission.top_teams(60)));
    point(size, cpu_us)
}
