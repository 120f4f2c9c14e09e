//! The commands about shares: showing each controller's share of a team's quota, moving
//! a part of it, and the status of moves.

use clap::Subcommand;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shares::MoveState;

use super::EXIT_SUCCESS;
use super::client::ControllerArgs;
use super::error::CliError;
use crate::accounting::{
    Amounts, ControllerShare, MoveAnswer, MoveReport, MoveRequest, ShareReport, TeamShares,
};

#[derive(Debug, Subcommand)]
pub(super) enum ShareCommand {
    /// Show the split of a team's room, or of all.
    Show {
        /// The team.
        team: Option<String>,
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// Move a part of a team's room from one controller to another; jobs run on.
    Move {
        /// The team.
        team: String,
        /// The controller that gives.
        #[arg(long, value_name = "CONTROLLER")]
        from: String,
        /// The controller that receives.
        #[arg(long, value_name = "CONTROLLER")]
        to: String,
        /// CPUs.
        #[arg(
            long,
            value_name = "N",
            default_value_t = 0.0,
            allow_negative_numbers = true
        )]
        cpus: f64,
        /// Accelerators.
        #[arg(
            long,
            value_name = "N",
            default_value_t = 0.0,
            allow_negative_numbers = true
        )]
        gpus: f64,
        /// Memory, in GB.
        #[arg(
            long,
            value_name = "N",
            default_value_t = 0.0,
            allow_negative_numbers = true
        )]
        memory_gb: f64,
        /// The operation's id, for repeating it: it takes effect once.
        #[arg(long)]
        id: Option<String>,
        /// Only say what would be done.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// Tell how far a move has come, or the latest ones.
    Status {
        /// The operation's id.
        id: Option<String>,
        #[command(flatten)]
        controller: ControllerArgs,
    },
}

impl ShareCommand {
    pub(super) fn run(self) -> Result<u8, CliError> {
        match self {
            ShareCommand::Show { team, controller } => show(&controller, team.as_deref())?,
            ShareCommand::Status { id, controller } => status(&controller, id.as_deref())?,
            ShareCommand::Move {
                team,
                from,
                to,
                cpus,
                gpus,
                memory_gb,
                id,
                dry_run,
                controller,
            } => {
                let amount = Amounts {
                    cpus,
                    gpus,
                    memory_gb,
                };
                amount.resources().ok_or(CliError::InvalidAmount)?;
                let request = MoveRequest {
                    id: id.unwrap_or_else(random_id),
                    team,
                    from,
                    to,
                    amount,
                    dry_run,
                };
                request_move(&controller, &request)?;
            }
        }
        Ok(EXIT_SUCCESS)
    }
}

fn show(controller: &ControllerArgs, team: Option<&str>) -> Result<(), CliError> {
    let path = with_query("/ops/shares", "team", team);
    let report: ShareReport = controller.request("GET", &path, None)?;
    controller.print(&report, shares_text)
}

fn status(controller: &ControllerArgs, id: Option<&str>) -> Result<(), CliError> {
    let path = with_query("/ops/shares/moves", "id", id);
    let answer: MoveAnswer = controller.request("GET", &path, None)?;
    controller.print(&answer, moves_text)
}

fn request_move(controller: &ControllerArgs, request: &MoveRequest) -> Result<(), CliError> {
    let body = serde_json::to_vec(request).map_err(CliError::Json)?;
    let answer: MoveAnswer = controller.request("POST", "/ops/shares/move", Some(body))?;
    controller.print(&answer, moves_text)
}

/// A random id, which makes the operation idempotent.
fn random_id() -> String {
    let mut rng = SmallRng::from_os_rng();
    format!("move-{:016x}", rng.random::<u64>())
}

fn with_query(path: &str, name: &str, value: Option<&str>) -> String {
    match value {
        Some(value) => format!("{path}?{name}={value}"),
        None => path.to_string(),
    }
}

/// The shares of each team's quota, a line for each controller.
pub fn shares_text(report: &ShareReport) -> String {
    let mut text = format!(
        "At revision {}: shares hold {} of {}.\n",
        report.revision,
        amounts_text(&report.granted),
        amounts_text(&report.capacity)
    );
    text.extend(report.teams.iter().map(team_text));
    text
}

fn team_text(team: &TeamShares) -> String {
    let mut text = match team.split {
        true => format!(
            "{}: move {} of {} settled\n",
            team.team, team.settled, team.generation
        ),
        false => format!("{}: not split\n", team.team),
    };
    text.extend(team.controllers.iter().map(controller_text));
    if let Some(obstacle) = &team.obstacle {
        text += &format!("  left to move: {obstacle}\n");
    }
    text
}

fn controller_text(share: &ControllerShare) -> String {
    let mut text = format!(
        "  {}: has {}, {} used",
        share.controller,
        amounts_text(&share.granted),
        amounts_text(&share.used)
    );
    if share.wanted != share.granted {
        text += &format!(", is to have {}", amounts_text(&share.wanted));
    }
    text + "\n"
}

/// The moves of shares, a line for each.
pub fn moves_text(answer: &MoveAnswer) -> String {
    let mut text = format!("At revision {}:\n", answer.revision);
    text.extend(answer.moves.iter().map(move_text));
    if answer.moves.is_empty() {
        text += "  no moves\n";
    }
    text
}

fn move_text(report: &MoveReport) -> String {
    let state = match report.state {
        MoveState::Pending => "pending",
        MoveState::Superseded => "superseded by a later move, and part of it",
        MoveState::Done => "done",
    };
    let mut text = format!(
        "  {}: {} of {} from {} to {}: {state}\n",
        report.id,
        amounts_text(&report.amount),
        report.team,
        report.from,
        report.to
    );
    if let Some(obstacle) = &report.obstacle {
        text += &format!("    {obstacle}\n");
    }
    text
}

fn amounts_text(amounts: &Amounts) -> String {
    format!(
        "{} CPUs, {} accelerators, {} GB",
        amounts.cpus, amounts.gpus, amounts.memory_gb
    )
}
