//! Commands about shares: show each controller's share of a team's limit, move capacity
//! between shares, and show the status of moves.

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
    /// Show the controllers' shares of one team's limit, or of all teams' limits.
    Show {
        /// Name of the team.
        team: Option<String>,
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// Move capacity from one controller's share of a team's limit to another's; running
    /// jobs are not interrupted.
    Move {
        /// Name of the team.
        team: String,
        /// Controller whose share shrinks.
        #[arg(long, value_name = "CONTROLLER")]
        from: String,
        /// Controller whose share grows.
        #[arg(long, value_name = "CONTROLLER")]
        to: String,
        /// CPUs to move.
        #[arg(
            long,
            value_name = "N",
            default_value_t = 0.0,
            allow_negative_numbers = true
        )]
        cpus: f64,
        /// Accelerators to move.
        #[arg(
            long,
            value_name = "N",
            default_value_t = 0.0,
            allow_negative_numbers = true
        )]
        gpus: f64,
        /// Memory to move, in GB.
        #[arg(
            long,
            value_name = "N",
            default_value_t = 0.0,
            allow_negative_numbers = true
        )]
        memory_gb: f64,
        /// Id of the move, random by default; a move repeated with its id takes effect
        /// once.
        #[arg(long)]
        id: Option<String>,
        /// Show the outcome of the move without making it.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        controller: ControllerArgs,
    },
    /// Show the status of a move, or of the latest moves.
    Status {
        /// Id of the move.
        id: Option<String>,
        #[command(flatten)]
        controller: ControllerArgs,
    },
}

impl ShareCommand {
    /// Runs the command.
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

/// Prints the shares of one team or of all teams.
fn show(controller: &ControllerArgs, team: Option<&str>) -> Result<(), CliError> {
    let path = with_query("/ops/shares", "team", team);
    let report: ShareReport = controller.request("GET", &path, None)?;
    controller.print(&report, shares_text)
}

/// Prints the status of one move or of the latest moves.
fn status(controller: &ControllerArgs, id: Option<&str>) -> Result<(), CliError> {
    let path = with_query("/ops/shares/moves", "id", id);
    let answer: MoveAnswer = controller.request("GET", &path, None)?;
    controller.print(&answer, moves_text)
}

/// Requests a move and prints its status.
fn request_move(controller: &ControllerArgs, request: &MoveRequest) -> Result<(), CliError> {
    let body = serde_json::to_vec(request).map_err(CliError::Json)?;
    let answer: MoveAnswer = controller.request("POST", "/ops/shares/move", Some(body))?;
    controller.print(&answer, moves_text)
}

/// Returns a random move id. If a request is repeated with the same id, the move is applied
/// only once.
fn random_id() -> String {
    let mut rng = SmallRng::from_os_rng();
    format!("move-{:016x}", rng.random::<u64>())
}

/// Appends a query parameter to a path if it has a value.
fn with_query(path: &str, name: &str, value: Option<&str>) -> String {
    match value {
        Some(value) => format!("{path}?{name}={value}"),
        None => path.to_string(),
    }
}

/// Formats the shares of each team's limit, with one line for each controller.
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

/// Formats the shares of one team.
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
        text += &format!("  move pending: {obstacle}\n");
    }
    text
}

/// Formats the share of one controller.
fn controller_text(share: &ControllerShare) -> String {
    let mut text = format!(
        "  {}: has {}, {} used",
        share.controller,
        amounts_text(&share.granted),
        amounts_text(&share.used)
    );
    if share.wanted != share.granted {
        text += &format!(", target {}", amounts_text(&share.wanted));
    }
    text + "\n"
}

/// Formats moves, with one line for each.
pub fn moves_text(answer: &MoveAnswer) -> String {
    let mut text = format!("At revision {}:\n", answer.revision);
    text.extend(answer.moves.iter().map(move_text));
    if answer.moves.is_empty() {
        text += "  no moves\n";
    }
    text
}

/// Formats one move.
fn move_text(report: &MoveReport) -> String {
    let state = match report.state {
        MoveState::Pending => "pending",
        MoveState::Superseded => "superseded by a later move, which includes it",
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

/// Formats amounts of resources.
fn amounts_text(amounts: &Amounts) -> String {
    format!(
        "{} CPUs, {} accelerators, {} GB",
        amounts.cpus, amounts.gpus, amounts.memory_gb
    )
}
