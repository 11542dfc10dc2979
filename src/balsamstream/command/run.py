"""Commands and options of the command-line tool ``balsamstream``."""

from __future__ import annotations

import sys
from pathlib import Path  # noqa: TC003 - read by cyclopts when the program runs
from typing import Annotated, Any, Final, Literal

from cyclopts import App, Parameter
from returns.result import Success

from .. import VERSION
from ..config import DataCentreState, Kind, find_kind
from ..core.view import MemberState
from .apply import apply_files
from .check import check_files
from .datacentre import set_data_centre_state
from .delete import delete_object
from .follow import follow_flow
from .host import set_host_state
from .node_settings import check_node_settings
from .outcome import Outcome, Output
from .printer import print_outcome
from .report import report_burn
from .session import Options, OutputFormat, run_on_platform
from .show import describe_object, get_objects
from .status import show_status
from .voters import reset_voters

HELP: Final = """
Declare profiles, services and data centre states, and show the system's state.

A change is written only if the object is still as it was read: if another
operator has changed it, the command fails and names that operator. Only "host"
and "voters" commands read the view again and retry, as daemons change it, too.

Exit codes: 0 success; 2 wrong arguments; 3 a file or object is not valid;
4 conflict with another operator's change; 5 no such object; 6 the platform does
not answer, nothing was changed; 7 it is unknown whether a change took effect;
8 some objects were changed and could not be restored; 9 the object is in use.
"""

app = App(
    name="balsamstream",
    help=HELP,
    version=VERSION,
    default_parameter=Parameter(negative=()),
)
host_app = App(name="host", help="Drain a host, or make it active again.")
data_centre_app = App(
    name="datacentre", help="Take a data centre out of service, or put it back in."
)
app.command(host_app)
app.command(data_centre_app)
voters_app = App(name="voters", help="Replace voters that are lost for good.")
app.command(voters_app)

CommonOptions = Annotated[Options, Parameter(parse=False)]
KindName = Literal[
    "profiles",
    "services",
    "datacentres",
    "views",
    "balancers",
    "profile",
    "service",
    "datacentre",
    "view",
    "balancer",
]


@app.command
def apply(
    files: list[Path], /, *, dry_run: bool = False, options: CommonOptions
) -> Outcome:
    """Apply the profiles, services and data centres declared in YAML files.

    All objects are checked first, also against those stored on the platform: each
    field, duplicate names and addresses, services whose profile does not exist.
    Then all objects are written, or none: if a write fails, or a concurrent change
    by another operator conflicts, the objects already written are restored, and the
    error lists the state of each object. Objects that are already as declared are
    not written.

    Parameters
    ----------
    files : list of Path
        YAML files of one or more documents.
    dry_run : bool
        Show only what would be written.
    """
    return run_on_platform(options, lambda client: apply_files(client, files, dry_run))


@app.command
def check(files: list[Path], /, *, options: CommonOptions) -> Outcome:
    """Check YAML files of declared objects without a platform.

    Parameters
    ----------
    files : list of Path
        YAML files; together they must contain every profile that they refer to.
    """
    return check_files(files)


@app.command(name="check-node")
def check_node(files: list[Path], /, *, options: CommonOptions) -> Outcome:
    """Check the settings files of nodes without starting a node.

    Parameters
    ----------
    files : list of Path
        YAML files, as ``balsamstream-node --settings`` reads them.
    """
    return check_node_settings(files)


@app.command
def follow(
    flow: str, logs: list[Path], /, *, around_s: float = 0.5, options: CommonOptions
) -> Outcome:
    """Show the decisions of all nodes on a flow by time, and their state changes.

    Parameters
    ----------
    flow : str
        Id of the flow or a prefix of it, such as the caller's ``IP:PORT``.
    logs : list of Path
        Logs of the nodes.
    around_s : float
        State changes of these nodes are shown if they are at most this many seconds
        before or after a decision.
    """
    return follow_flow(logs, flow, around_s)


@app.command
def get(
    kind: KindName, name: str | None = None, /, *, options: CommonOptions
) -> Outcome:
    """Show the objects of a kind in a table.

    With ``--output json`` they are shown in the form that ``apply`` accepts.

    Parameters
    ----------
    kind : KindName
        Kind of the objects.
    name : str
        Show only the object of this name.
    """
    found = _find_kind(kind)
    return run_on_platform(options, lambda client: get_objects(client, found, name))


@app.command
def describe(kind: KindName, name: str, /, *, options: CommonOptions) -> Outcome:
    """Show every field of an object, who changed it last and its related objects.

    Parameters
    ----------
    kind : KindName
        Kind of the object.
    name : str
        Name of the object.
    """
    found = _find_kind(kind)
    return run_on_platform(options, lambda client: describe_object(client, found, name))


@app.command
def delete(kind: KindName, name: str, /, *, options: CommonOptions) -> Outcome:
    """Delete an object that is not in use.

    A profile that a service refers to and a data centre that has hosts are not
    deleted.

    Parameters
    ----------
    kind : KindName
        Kind of the object.
    name : str
        Name of the object.
    """
    found = _find_kind(kind)
    return run_on_platform(options, lambda client: delete_object(client, found, name))


@app.command
def status(*, daemon: list[str] | None = None, options: CommonOptions) -> Outcome:
    """Show services, hosts, data centres and balancers.

    Parameters
    ----------
    daemon : list of str
        Status address (IP:PORT) of a daemon to show as well; may be repeated.
    """
    return run_on_platform(options, lambda client: show_status(client, daemon or []))


@host_app.command(name="drain")
def drain_host(
    name: str, /, *, service: str | None = None, options: CommonOptions
) -> Outcome:
    """Drain a host: it finishes its flows and receives no new ones.

    Parameters
    ----------
    name : str
        Name of the host.
    service : str
        Service of the host; needed only where several have a host of this name.
    """
    state = MemberState.DRAINING
    return run_on_platform(
        options, lambda client: set_host_state(client, name, state, service)
    )


@host_app.command(name="undrain")
def undrain_host(
    name: str, /, *, service: str | None = None, options: CommonOptions
) -> Outcome:
    """Make a draining host active again, so that it receives new flows.

    Parameters
    ----------
    name : str
        Name of the host.
    service : str
        Service of the host; needed only where several have a host of this name.
    """
    state = MemberState.ACTIVE
    return run_on_platform(
        options, lambda client: set_host_state(client, name, state, service)
    )


@data_centre_app.command(name="out")
def take_out(name: str, /, *, options: CommonOptions) -> Outcome:
    """Take a data centre out of service; flows to its hosts are lost.

    It receives no more packets.

    Parameters
    ----------
    name : str
        Name of the data centre.
    """
    state = DataCentreState.OUT
    return run_on_platform(
        options, lambda client: set_data_centre_state(client, name, state)
    )


@data_centre_app.command(name="in")
def take_in(name: str, /, *, options: CommonOptions) -> Outcome:
    """Put a data centre back in service; its hosts begin with a cold start.

    Parameters
    ----------
    name : str
        Name of the data centre.
    """
    state = DataCentreState.IN
    return run_on_platform(
        options, lambda client: set_data_centre_state(client, name, state)
    )


@voters_app.command(name="reset")
def replace_voters(service: str, /, *, options: CommonOptions) -> Outcome:
    """Give a service new voters after most of its voters were lost together.

    Use this only for a service whose non-repeatable requests all end as "may have
    run" because its voters are lost. Make sure first that no process of the old
    voters, and no agent of the service that could reach one, is still running
    where you cannot reach it: such a process could run a request twice. The new
    voters wait 247 s, until copies of older requests have expired, before
    non-repeatable requests are accepted again.

    Parameters
    ----------
    service : str
        Name of the service.
    """
    return run_on_platform(options, lambda client: reset_voters(client, service))


@app.command
def report(
    *,
    daemon: list[str],
    service: list[str] | None = None,
    html: Path | None = None,
    options: CommonOptions,
) -> Outcome:
    """Report how fast services burned their error budgets in the last hour.

    Shows for each service its objectives, the error budget that is left, burn
    rates over 5 minutes and 1 hour, broken flows, refused requests by whether they
    may have run, and the imbalance across hosts. The counts of the given daemons
    are added up, so give every balancer and agent. The platform is not needed.

    Parameters
    ----------
    daemon : list of str
        Status address (IP:PORT) of a daemon; repeat for each daemon.
    service : list of str
        Report only this service; may be repeated.
    html : Path
        Also write an HTML page with plots to this file.
    """
    return report_burn(daemon, service or (), html)


@app.command
def completion(
    shell: Literal["bash", "zsh", "fish"], /, *, options: CommonOptions
) -> Outcome:
    """Print a completion script, to be sourced by the startup file of a shell.

    Parameters
    ----------
    shell : str
        Shell to print the script for.
    """
    script = app.meta.generate_completion(shell=shell)
    return Success(Output({"shell": shell, "script": script}, lines=(script,)))


@app.meta.default
def launch(
    *tokens: Annotated[str, Parameter(show=False, allow_leading_hyphen=True)],
    platform: Annotated[str | None, Parameter(env_var="BALSAMSTREAM_PLATFORM")] = None,
    ca_file: Annotated[str | None, Parameter(env_var="BALSAMSTREAM_CA_FILE")] = None,
    output: OutputFormat = OutputFormat.TABLE,
) -> int:
    """Run one command.

    Parameters
    ----------
    platform : str
        URL of the platform's object API, such as https://192.0.2.1:8001.
    ca_file : str
        PEM file of the certificates to trust instead of the system's.
    output : OutputFormat
        Format of the output, and of errors on standard error.
    """
    options = Options(platform, ca_file, output)
    command, bound, ignored = app.parse_args(tokens)
    arguments: dict[str, Any] = dict(bound.kwargs)
    if "options" not in ignored:
        # Built-in commands of cyclopts, such as --help and --version.
        result: object = command(*bound.args, **arguments)
        return result if isinstance(result, int) else 0
    outcome = command(*bound.args, **arguments, options=options)
    return print_outcome(outcome, output)


def run() -> None:
    """Run the command-line tool with the arguments of the process."""
    sys.exit(app.meta(result_action="return_value"))


def _find_kind(name: KindName) -> Kind:
    kind = find_kind(name)
    if kind is None:
        raise ValueError(f"unknown kind {name}")
    return kind


app.register_install_completion_command()

if __name__ == "__main__":
    run()

__all__ = ["app", "run"]
