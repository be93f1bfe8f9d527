//! Text output of the servers that were compared for a request.

use std::fmt;

use wagtailarch_wire::explanation::{Exclusion, Figures, WeighedChoice};

/// Writes one line for each choice, with its figures.
pub fn write_weighed(f: &mut fmt::Formatter<'_>, weighed: &[WeighedChoice]) -> fmt::Result {
    if weighed.is_empty() {
        return Ok(());
    }
    writeln!(f, "compared, the best first:")?;
    for choice in weighed {
        write!(
            f,
            "  {} zone={} in_flight={} failure_rate={:.3}",
            choice.server, choice.zone, choice.in_flight, choice.failure_rate
        )?;
        write_figures(f, &choice.figures)?;
        if let Some(exclusion) = choice.excluded_by {
            write!(f, " excluded_by={}", exclusion_name(exclusion))?;
        }
        writeln!(f)?;
    }
    Ok(())
}

fn write_figures(f: &mut fmt::Formatter<'_>, figures: &Figures) -> fmt::Result {
    match figures {
        Figures::Plain {
            reported_load,
            cost,
        } => write!(f, " reported_load={reported_load:.2} cost={cost:.3}"),
        Figures::Engines {
            prefill_engine,
            prefill_wait_ms,
            prefill_ms,
            new_tokens,
            first_event_ms,
            running,
            stalls_streams,
            cost_ms,
        } => {
            let reader = prefill_engine.as_deref().unwrap_or("same");
            write!(
                f,
                " reader={reader} wait_ms={prefill_wait_ms:.0} read_ms={prefill_ms:.0} \
                 new_tokens={new_tokens} first_event_ms={first_event_ms:.0} running={running} \
                 stalls_streams={stalls_streams} cost_ms={cost_ms:.0}"
            )
        }
    }
}

const fn exclusion_name(exclusion: Exclusion) -> &'static str {
    match exclusion {
        Exclusion::Backoff => "backoff",
        Exclusion::ConnectionLimit => "connection_limit",
        Exclusion::RateLimit => "rate_limit",
    }
}
