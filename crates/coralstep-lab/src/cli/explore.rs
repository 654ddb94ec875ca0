//! `explore`: every small history, and long ones by chance.
use coralstep_lab::explore::fleet::{Fleet, Scope as FleetScope};
use coralstep_lab::explore::module::{Cheat, Module, PRELUDES, Prelude, Scope};
use coralstep_lab::explore::pool::{Pool, Scope as PoolScope};
use coralstep_lab::explore::shares::{Prelude as SharesPrelude, Scope as SharesScope, Shares};
use coralstep_lab::explore::straggler::{Lag, Scope as LagScope};
use coralstep_lab::explore::{Play, Walked, exhaust, wander};

use super::side_by_side;

pub struct Call {
    pub depth: usize,
    pub most: u64,
    pub histories: u64,
    pub length: usize,
    pub seed: u64,
    pub threads: usize,
    pub json: bool,
}

/// One scope: its name, and how to walk it.
type Walk = (String, Walker);
type Walker = Box<dyn Fn(&Call) -> (Walked, Option<String>) + Sync>;

fn walk<P: Play>(scope: P::Scope) -> Walker
where
    P::Scope: 'static,
{
    Box::new(move |call| {
        let mut walked = exhaust::<P>(&scope, call.depth, call.most, |_, _| {});
        if walked.fault.is_none() {
            let long = wander::<P>(&scope, call.histories, call.length, call.seed);
            walked.fault = long.fault;
        }
        let told = walked.fault.as_ref().map(|fault| fault.told::<P>());
        (walked, told)
    })
}

pub fn explore(call: &Call) -> Result<bool, String> {
    let module = |(name, prelude): (&str, Prelude)| -> Walk {
        (
            format!("module, {name}"),
            walk::<Module>(Scope {
                prelude,
                prompt: false,
                cheat: Cheat::None,
            }),
        )
    };
    let mut walks: Vec<Walk> = PRELUDES.into_iter().map(module).collect();
    let prompt = Scope {
        prelude: Prelude::Hung,
        prompt: true,
        cheat: Cheat::None,
    };
    walks.push((
        "module, hung, prompt engine".to_owned(),
        walk::<Module>(prompt),
    ));
    walks.push(("pool, fresh".to_owned(), walk::<Pool>(PoolScope::Fresh)));
    walks.push((
        "fleet's versions".to_owned(),
        walk::<Fleet>(FleetScope::default()),
    ));
    for (name, silent_shuts) in [
        ("straggler, silent serves", false),
        ("straggler, silent shuts", true),
    ] {
        walks.push((
            name.to_owned(),
            walk::<Lag>(LagScope {
                silent_shuts,
                ..LagScope::default()
            }),
        ));
    }
    for (name, prelude) in [
        ("limits, fresh", SharesPrelude::Fresh),
        ("limits, settled", SharesPrelude::Settled),
    ] {
        walks.push((
            name.to_owned(),
            walk::<Shares>(SharesScope {
                prelude,
                ..SharesScope::default()
            }),
        ));
    }
    walks.push(("pool, shut".to_owned(), walk::<Pool>(PoolScope::Shut)));
    let results = side_by_side(0..walks.len() as u64, call.threads, |at| {
        walks[at as usize].1(call)
    });
    let mut sound = true;
    for ((name, _), (walked, told)) in walks.iter().zip(&results) {
        sound &= told.is_none();
        if call.json {
            println!(
                "{}",
                serde_json::json!({"scope": name, "walked": walked, "told": told})
            );
            continue;
        }
        let cut = if walked.cut {
            ", not all: the bound on states was met"
        } else {
            ""
        };
        println!(
            "{name}: {} states to depth {}, {} met again{cut}",
            walked.states, call.depth, walked.again
        );
        match told {
            Some(told) => println!("  broken: {told}"),
            None => println!(
                "  holds, and so do {} long histories of up to {} moves",
                call.histories, call.length
            ),
        }
    }
    Ok(sound)
}
