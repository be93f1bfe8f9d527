//! Prompts and running requests at engines, of this instance and as its peers report them.

use std::time::Duration;

use indexmap::IndexSet;
use wagtailarch_types::{InstanceId, ServiceName, Urgency};
use wagtailarch_wire::load_note::{LoadNote, OpenPrefill, SentPrefixes, server_key};

use super::LoadBalancer;
use crate::{EngineState, PrefillNumber, PrefixLink};

/// A prompt of this instance that waits for its prefill or is being prefilled.
#[derive(Debug)]
pub(super) struct OwnPrefill {
    /// Engine that prefills it.
    engine: InstanceId,
    /// What load notes state about it.
    report: OpenPrefill,
    /// Predicted prefill time on the reference engine.
    reference_time: Duration,
}

/// Sender under which the prompts of this instance are queued.
const OWN_SENDER: InstanceId = InstanceId::new_inline("");

impl LoadBalancer {
    /// Records that a prompt is sent to an engine; returns its number and its prefixes, which the
    /// caller sends to the peers once.
    pub fn start_prefill(
        &mut self,
        now: Duration,
        id: &InstanceId,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> Option<(PrefillNumber, SentPrefixes)> {
        let engine = self.backends.get_mut(id)?.engine.as_mut()?;
        let number = self.next_prefill;
        self.next_prefill = self.next_prefill.wrapping_add(1);
        let (work, reference_time) =
            engine.start_prefill(now, &OWN_SENDER, number, urgency, prefixes, prompt_tokens);
        let open_prefill = OpenPrefill {
            engine: server_key(id),
            number,
            work_ms: u16::try_from(work.as_millis()).unwrap_or(u16::MAX),
            urgency,
        };
        let own = OwnPrefill {
            engine: id.clone(),
            report: open_prefill,
            reference_time,
        };
        self.open_prefills.insert(number, own);
        let sent_prefixes = SentPrefixes {
            engine: open_prefill.engine,
            prefixes: prefixes.iter().map(|p| (p.hash, p.end_tokens)).collect(),
        };
        Some((number, sent_prefixes))
    }

    /// Records the end of a prefill, which was abandoned if not `completed`.
    pub fn finish_prefill(&mut self, now: Duration, number: PrefillNumber, completed: bool) {
        let Some(own) = self.open_prefills.shift_remove(&number) else {
            return;
        };
        let Some(backend) = self.backends.get_mut(&own.engine) else {
            return;
        };
        let sample = backend.engine.as_mut().and_then(|engine| {
            engine.finish_prefill(now, &OWN_SENDER, number, own.reference_time, completed)
        });
        let Some(sample) = sample else {
            return;
        };
        let service = backend.server.service.clone();
        let speed = self.prefill_speeds.entry(service.clone()).or_default();
        speed.add(now, sample);
        let slowdown = speed.slowdown();
        let backends = self.backends.values_mut();
        for backend in backends.filter(|backend| backend.server.service == service) {
            if let Some(engine) = &mut backend.engine {
                engine.service_slowdown = slowdown;
            }
        }
    }

    /// Returns the prompts of this instance that wait for their prefill or are being prefilled.
    pub fn open_prefills(&self) -> Vec<OpenPrefill> {
        self.open_prefills.values().map(|own| own.report).collect()
    }

    /// Adds `delta` to the number of requests of this instance that an engine decodes.
    pub fn add_running(&mut self, id: &InstanceId, delta: i32) {
        let engine = self.backends.get_mut(id).and_then(|b| b.engine.as_mut());
        if let Some(engine) = engine {
            engine.add_running(delta);
        }
    }

    /// Returns the number of requests of this instance that each engine decodes, by the key of the
    /// engine.
    pub fn own_running(&self) -> Vec<(u32, u32)> {
        let engines = self.backends.iter().filter_map(|(id, backend)| {
            let running = backend.engine.as_ref()?.own_running();
            (running > 0).then(|| (server_key(id), running))
        });
        engines.collect()
    }

    /// Applies the load that a peer reports.
    pub fn on_load_note(&mut self, now: Duration, note: &LoadNote) {
        for sent in &note.sent_prefixes {
            let Some(engine) = self.engine_by_key(sent.engine) else {
                continue;
            };
            let links = sent.prefixes.iter();
            let links: Vec<_> = links
                .map(|&(hash, end_tokens)| PrefixLink { hash, end_tokens })
                .collect();
            engine.cache.insert(&links);
        }
        let running = note.running.iter().map(|(key, _)| *key);
        let prefilling = note.open_prefills.iter().map(|prefill| prefill.engine);
        let keys: IndexSet<u32> = running.chain(prefilling).collect();
        let previous = match keys.is_empty() {
            true => self.reported_engines.swap_remove(&note.sender),
            false => self
                .reported_engines
                .insert(note.sender.clone(), keys.clone()),
        };
        for key in keys.union(&previous.unwrap_or_default()) {
            let Some(engine) = self.engine_by_key(*key) else {
                continue;
            };
            let reported = note.running.iter().find(|(engine, _)| engine == key);
            let running = reported.map_or(0, |(_, running)| *running);
            engine.set_peer_running(now, &note.sender, running);
            let prefills = note
                .open_prefills
                .iter()
                .filter(|prefill| prefill.engine == *key);
            let numbers: Vec<_> = prefills.clone().map(|prefill| prefill.number).collect();
            engine.queue.retain_reported(now, &note.sender, &numbers);
            for prefill in prefills {
                enqueue_peer_prefill(now, engine, &note.sender, prefill);
            }
        }
    }

    fn engine_by_key(&mut self, key: u32) -> Option<&mut EngineState> {
        self.backend_by_key(key)?.engine.as_mut()
    }

    /// Returns the slowdown of a service if it is outdated and no prompt of this instance measures it
    /// at present.
    ///
    /// If it led to the refusal of every prompt, none would correct it.
    pub(super) fn unmeasured_slowdown(&self, now: Duration, service: &ServiceName) -> Option<f64> {
        let slowdown = self.prefill_speeds.get(service)?.outdated_slowdown(now)?;
        let mut measuring = self.open_prefills.values();
        let is_measured = measuring.any(|own| {
            let engine = self.backends.get(&own.engine);
            engine.is_some_and(|engine| engine.server.service == *service)
        });
        (!is_measured).then_some(slowdown)
    }
}

/// Adds a prompt of a peer to the queue of its engine.
fn enqueue_peer_prefill(
    now: Duration,
    engine: &mut EngineState,
    sender: &InstanceId,
    prefill: &OpenPrefill,
) {
    if engine.queue.contains(sender, prefill.number) {
        return;
    }
    let work = Duration::from_millis(prefill.work_ms.into());
    engine
        .queue
        .add(now, sender, prefill.number, prefill.urgency, work);
}
