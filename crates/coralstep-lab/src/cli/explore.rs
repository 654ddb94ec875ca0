//! `explore`: exhaustive exploration of short histories, then random long ones.
use coralstep_lab::explore::fleet::{Fleet, Scope as FleetScope};
use coralstep_lab::explore::module::{INITIAL_STATES, InitialState, InjectedFault, Module, Scope};
use coralstep_lab::explore::pool::{Pool, Scope as PoolScope};
use coralstep_lab::explore::shares::{
    InitialState as SharesInitialState, Scope as SharesScope, Shares,
};
use coralstep_lab::explore::straggler::{LaggingMember, Scope as LaggingMemberScope};
use coralstep_lab::explore::{Exploration, Model, explore_exhaustively, explore_random};

use super::side_by_side;

pub struct Call {
    pub depth: usize,
    pub max_states: u64,
    pub histories: u64,
    pub length: usize,
    pub seed: u64,
    pub threads: usize,
    pub json: bool,
}

/// Name of a scope, and the function that explores it.
type Walk = (String, Walker);
type Walker = Box<dyn Fn(&Call) -> (Exploration, Option<String>) + Sync>;

fn walk<P: Model>(scope: P::Scope) -> Walker
where
    P::Scope: 'static,
{
    Box::new(move |call| {
        let mut exploration =
            explore_exhaustively::<P>(&scope, call.depth, call.max_states, |_, _| {});
        if exploration.violation.is_none() {
            let long = explore_random::<P>(&scope, call.histories, call.length, call.seed);
            exploration.violation = long.violation;
        }
        let told = exploration
            .violation
            .as_ref()
            .map(|violation| violation.describe::<P>());
        (exploration, told)
    })
}

pub fn explore(call: &Call) -> Result<bool, String> {
    let module = |(name, initial_state): (&str, InitialState)| -> Walk {
        (
            format!("module, {name}"),
            walk::<Module>(Scope {
                initial_state,
                prompt: false,
                injected_fault: InjectedFault::None,
            }),
        )
    };
    let mut walks: Vec<Walk> = INITIAL_STATES.into_iter().map(module).collect();
    let prompt = Scope {
        initial_state: InitialState::Hung,
        prompt: true,
        injected_fault: InjectedFault::None,
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
    for (name, exclude_when_isolated) in [
        ("straggler, silent serves", false),
        ("straggler, silent shuts", true),
    ] {
        walks.push((
            name.to_owned(),
            walk::<LaggingMember>(LaggingMemberScope {
                exclude_when_isolated,
                ..LaggingMemberScope::default()
            }),
        ));
    }
    for (name, initial_state) in [
        ("limits, fresh", SharesInitialState::Fresh),
        ("limits, settled", SharesInitialState::Settled),
    ] {
        walks.push((
            name.to_owned(),
            walk::<Shares>(SharesScope {
                initial_state,
                ..SharesScope::default()
            }),
        ));
    }
    walks.push((
        "pool, shut".to_owned(),
        walk::<Pool>(PoolScope::BreakersOpen),
    ));
    let results = side_by_side(0..walks.len() as u64, call.threads, |at| {
        walks[at as usize].1(call)
    });
    let mut sound = true;
    for ((name, _), (exploration, told)) in walks.iter().zip(&results) {
        sound &= told.is_none();
        if call.json {
            println!(
                "{}",
                serde_json::json!({"scope": name, "walked": exploration, "told": told})
            );
            continue;
        }
        let cut = if exploration.truncated {
            ", incomplete: the limit on states was reached"
        } else {
            ""
        };
        println!(
            "{name}: {} states to depth {}, {} revisited{cut}",
            exploration.states, call.depth, exploration.revisited
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
