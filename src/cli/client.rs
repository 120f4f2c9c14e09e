//! Sends requests to a running controller and prints the responses.

use std::net::SocketAddrV4;
use std::time::Duration;

use clap::Args;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::{CliError, EXIT_UNFINISHED};
use super::render::{job_text, report_text, teams_text};
use super::{EXIT_SUCCESS, runtime};
use crate::http::{CallError, Client, Response};
use crate::introspection::{FleetReport, JobDetails, TeamDetails};
use crate::net::Net;

/// Time within which a controller must respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments that select the controller and the output format.
#[derive(Debug, Args)]
pub(super) struct ControllerArgs {
    /// Address of a running controller, as address:port.
    #[arg(long, value_name = "ADDR", env = "SHELFHOIST_NODE")]
    node: SocketAddrV4,
    /// Print JSON instead of text.
    #[arg(long)]
    json: bool,
}

impl ControllerArgs {
    /// Prints the state of a job.
    pub(super) fn show_job(&self, id: &str) -> Result<u8, CliError> {
        let details: JobDetails = self.get(&format!("/ops/job/{id}"))?;
        self.print(&details, job_text)?;
        Ok(EXIT_SUCCESS)
    }

    /// Prints the usage of all teams.
    pub(super) fn show_teams(&self) -> Result<u8, CliError> {
        let teams: Vec<TeamDetails> = self.get("/ops/teams")?;
        self.print(&teams, |teams| teams_text(teams))?;
        Ok(EXIT_SUCCESS)
    }

    /// Prints the unfinished jobs, and returns [`EXIT_UNFINISHED`] if there are any.
    pub(super) fn show_report(&self) -> Result<u8, CliError> {
        let report = self.get_report()?;
        self.print(&report, report_text)?;
        Ok(if report.unfinished > 0 {
            EXIT_UNFINISHED
        } else {
            EXIT_SUCCESS
        })
    }

    /// Returns the report with the jobs of all pages.
    fn get_report(&self) -> Result<FleetReport, CliError> {
        let mut report: FleetReport = self.get("/ops/report")?;
        while let Some(after) = report.next.take() {
            let page: FleetReport = self.get(&format!("/ops/report?after={after}"))?;
            report.jobs.extend(page.jobs);
            report.next = page.next;
        }
        Ok(report)
    }

    /// Sends a `GET` request and deserializes its response.
    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let response = self.call("GET", path, None)?;
        self.read(&response)
    }

    /// Sends a request and deserializes its response. A 4xx status is reported as
    /// [`CliError::InvalidArguments`], because the request contains arguments of the command.
    pub(super) fn request<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<T, CliError> {
        let response = self.call(method, path, body)?;
        match response.status {
            400..=499 => Err(CliError::InvalidArguments(error_reason(&response))),
            _ => self.read(&response),
        }
    }

    /// Sends a request to the controller.
    fn call(&self, method: &str, path: &str, body: Option<Vec<u8>>) -> Result<Response, CliError> {
        let client = Client::new(Net::System, RESPONSE_TIMEOUT);
        let call = client.call(self.node, method, path, body, RESPONSE_TIMEOUT);
        let result = runtime()?.block_on(call);
        result.map_err(|cause| self.call_error(cause))
    }

    /// Deserializes a response with status 200, and returns an error for any other status.
    fn read<T: DeserializeOwned>(&self, response: &Response) -> Result<T, CliError> {
        if response.status != 200 {
            return Err(self.rejected(response));
        }
        response.parse().map_err(|cause| self.call_error(cause))
    }

    /// Converts the error of a call, adding the address of the controller.
    fn call_error(&self, cause: CallError) -> CliError {
        CliError::Call {
            controller: self.node,
            cause,
        }
    }

    /// Returns the error for a response with an unexpected status.
    fn rejected(&self, response: &Response) -> CliError {
        CliError::Rejected {
            controller: self.node,
            reason: error_reason(response),
        }
    }

    /// Prints a value as JSON or as the text that `text` returns.
    pub(super) fn print<T: Serialize>(
        &self,
        value: &T,
        text: impl Fn(&T) -> String,
    ) -> Result<(), CliError> {
        if self.json {
            let json = serde_json::to_string_pretty(value).map_err(CliError::Json)?;
            println!("{json}");
        } else {
            print!("{}", text(value));
        }
        Ok(())
    }
}

/// Returns the reason for rejecting a request from the body of the controller's response.
fn error_reason(response: &Response) -> String {
    let body: serde_json::Value = response.parse().unwrap_or_default();
    let reason = body["error"].as_str().unwrap_or("no reason given");
    reason.to_string()
}
