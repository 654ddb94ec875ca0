//! `experiment`, `compare`, `search`: variants, commits and worlds against each other.
use std::path::{Path, PathBuf};
use std::process::Command;

use coralstep_lab::baseline::{POLICIES, Policy};
use coralstep_lab::experiment::{Compared, run};
use coralstep_lab::simulate::play;
use coralstep_lab::{World, bound, report, search};

use super::side_by_side;

/// Which days, and how they are played and told.
pub struct Days {
    pub seed: u64,
    /// At the most.
    pub most: u64,
    pub threads: usize,
    pub json: bool,
}

fn show(compared: &[Compared], json: bool) {
    for one in compared {
        match json {
            true => println!(
                "{}",
                serde_json::json!({"compared": one, "verdict": one.verdict()})
            ),
            false => println!("{}", one.verdict()),
        }
    }
}

/// Each baseline against the module. Bad news of a baseline is good news: it is the module that is on trial.
pub fn baselines(
    world: &World,
    variants: &[Policy],
    days: &Days,
    out: Option<&Path>,
) -> Result<bool, String> {
    let (seed, most, threads, json) = (days.seed, days.most, days.threads, days.json);
    let name = |policy: Policy| {
        POLICIES
            .iter()
            .find(|(_, known)| *known == policy)
            .map_or("", |(name, _)| *name)
    };
    let mut compared = Vec::new();
    for variant in variants.iter().copied() {
        compared.push(run(name(variant), most, |days| {
            side_by_side(seed + days.start..seed + days.end, threads, |seed| {
                let (this, _) = play(world, seed, variant, false);
                let (first, _) = play(world, seed, Policy::Module, false);
                (this.kept, first.kept, this.breaches)
            })
        }));
    }
    if !json {
        println!("{}: against the module, the same days for both", world.name);
    }
    show(&compared, json);
    if let Some(out) = out {
        let (day, record) = play(world, seed, Policy::Module, false);
        let page = report::page(
            "virtual time; variants against the module",
            &day,
            &record,
            None,
            &compared,
        );
        report::write(out, &page.map_err(|why| why.to_string())?)?;
        println!("{}", out.display());
    }
    Ok(true)
}

fn ran(command: &mut Command, what: &str) -> Result<String, String> {
    let output = command.output().map_err(|why| format!("{what}: {why}"))?;
    if output.status.success() || output.status.code() == Some(1) && what == "simulate" {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    let told = String::from_utf8_lossy(&output.stderr);
    Err(format!(
        "{what}: {}",
        told.lines().last().unwrap_or("failed")
    ))
}

/// Work trees and builds of two commits, gone when dropped.
struct Built {
    repository: PathBuf,
    folder: PathBuf,
    trees: Vec<PathBuf>,
}

impl Drop for Built {
    fn drop(&mut self) {
        for tree in &self.trees {
            let _ = Command::new("git")
                .arg("-C")
                .arg(&self.repository)
                .args(["worktree", "remove", "--force"])
                .arg(tree)
                .output();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Built {
    fn program(&mut self, commit: &str, name: &str) -> Result<PathBuf, String> {
        let tree = self.folder.join(name);
        let git = |args: &[&str]| {
            let mut git = Command::new("git");
            git.arg("-C").arg(&self.repository).args(args);
            git
        };
        let full = ran(
            &mut git(&["rev-parse", "--verify", &format!("{commit}^{{commit}}")]),
            commit,
        )?;
        ran(
            git(&["worktree", "add", "--detach"])
                .arg(&tree)
                .arg(full.trim()),
            "git worktree",
        )?;
        self.trees.push(tree.clone());
        eprintln!("building {commit}");
        let target = self.folder.join(format!("{name}-target"));
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.current_dir(&tree).env("CARGO_TARGET_DIR", &target);
        build.args([
            "build",
            "--quiet",
            "--release",
            "--locked",
            "--package",
            "coralstep-lab",
            "--bin",
            "coralstep-lab",
        ]);
        ran(&mut build, "cargo build")?;
        Ok(target.join("release/coralstep-lab"))
    }
}

/// Two of the project's own commits on the same days. `world` is a file that both understand.
pub fn commits(
    old: &str,
    new: &str,
    world: &World,
    text: &str,
    days: &Days,
) -> Result<bool, String> {
    let (seed, most, threads, json) = (days.seed, days.most, days.threads, days.json);
    let repository = ran(
        Command::new("git").args(["rev-parse", "--show-toplevel"]),
        "git",
    )?;
    let folder = std::env::temp_dir().join(format!("coralstep-compare-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|why| format!("{}: {why}", folder.display()))?;
    let mut built = Built {
        repository: PathBuf::from(repository.trim()),
        folder,
        trees: Vec::new(),
    };
    let file = built.folder.join("world.json");
    std::fs::write(&file, text).map_err(|why| format!("{}: {why}", file.display()))?;
    let programs = [built.program(old, "old")?, built.program(new, "new")?];
    let mut failed = None;
    let mut days_of = |program: &Path, from: u64, count: u64| -> Vec<(f64, u64)> {
        let mut simulate = Command::new(program);
        simulate
            .arg("simulate")
            .arg(&file)
            .args(["--json", "--seed", &from.to_string()]);
        simulate.args([
            "--days",
            &count.to_string(),
            "--threads",
            &threads.to_string(),
        ]);
        let lines = ran(&mut simulate, "simulate").unwrap_or_else(|why| {
            failed = Some(why);
            String::new()
        });
        let days = lines
            .lines()
            .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        days.filter_map(|day| Some((day["kept"].as_f64()?, day["breaches"].as_u64()?)))
            .collect()
    };
    let compared = run(new, most, |days| {
        let (from, count) = (seed + days.start, days.end - days.start);
        let [first, this] = [
            days_of(&programs[0], from, count),
            days_of(&programs[1], from, count),
        ];
        this.into_iter()
            .zip(first)
            .map(|((this, breaches), (first, _))| (this, first, breaches))
            .collect()
    });
    if let Some(why) = failed {
        return Err(why);
    }
    if !json {
        println!(
            "{}: {new} against {old}, the same days for both",
            world.name
        );
    }
    show(std::slice::from_ref(&compared), json);
    Ok(compared.breaches == 0)
}

/// The world where the module is furthest from the best; written out.
pub fn worst(start: &World, tries: u64, seed: u64, out: &Path) -> Result<bool, String> {
    let badness = |world: &World| {
        let (day, record) = play(world, seed, Policy::Module, true);
        // A broken rule is worse than any loss.
        let broken = if day.breaches > 0 { 10.0 } else { 0.0 };
        broken
            + bound::compare_with_bound(world, &record, day.kept)
                .map_or(0.0, |split| split.bound - split.kept)
    };
    let told = |tries: u64, bad: f64| eprintln!("try {tries}: {bad:.4} under the bound");
    let mut found = search::search(start, tries, seed, badness, told);
    found.world.name = "worst".to_owned();
    std::fs::write(out, found.world.text()).map_err(|why| format!("{}: {why}", out.display()))?;
    println!(
        "{:.4} of the criticality asked for is lost to the bound; the world: {}",
        found.badness,
        out.display()
    );
    Ok(true)
}
