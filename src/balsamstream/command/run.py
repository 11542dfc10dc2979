"""The operator's tool ``balsamstream``."""

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
Declare profiles, services and data centre states, and see what runs.

Every change is conditional on the object being as it was read: a change that
races another operator's fails and names who changed what.

Exit codes: 0 done; 2 wrong arguments; 3 a file or object is not valid;
4 conflict with another's change; 5 no such object; 6 the platform gives no
answer, nothing was changed; 7 it is unknown whether a change took effect;
8 a part was changed and could not be put back; 9 the object is in use.
"""

app = App(
    name="balsamstream",
    help=HELP,
    version=VERSION,
    default_parameter=Parameter(negative=()),
)
host_app = App(name="host", help="Drain a host, or let it work again.")
data_centre_app = App(name="datacentre", help="Take a data centre out or in.")
app.command(host_app)
app.command(data_centre_app)
voters_app = App(name="voters", help="Replace voters that are dead for good.")
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
    """Declare the profiles, services and data centres of some YAML files.

    Everything is checked first, also against what the platform holds: each
    field, names and addresses used twice, services that name no profile. Then
    all objects are written, or none: if a write fails, those before it are put
    back, and the error says what became of each object. An object that is
    already as declared is left alone.

    Parameters
    ----------
    files : list of Path
        YAML files of one or more documents.
    dry_run : bool
        Only show what would be written.
    """
    return run_on_platform(options, lambda c: apply_files(c, files, dry_run))


@app.command
def check(files: list[Path], /, *, options: CommonOptions) -> Outcome:
    """Check YAML files of declared objects without a platform.

    Parameters
    ----------
    files : list of Path
        YAML files; together they have to hold every profile that they use.
    """
    return check_files(files)


@app.command(name="check-node")
def check_node(files: list[Path], /, *, options: CommonOptions) -> Outcome:
    """Check the settings files of nodes without starting one.

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
    """Show what all nodes decided on a flow, in order, and what they believed.

    Parameters
    ----------
    flow : str
        Beginning of the flow's id: the caller's ``IP:PORT``, or all of it.
    logs : list of Path
        Logs of the nodes.
    around_s : float
        Changes of what these nodes believed are shown up to so far from a decision,
        in seconds.
    """
    return follow_flow(logs, flow, around_s)


@app.command
def get(
    kind: KindName, name: str | None = None, /, *, options: CommonOptions
) -> Outcome:
    """Show the objects of a kind, a line each.

    With ``--output json`` they are shown in the form that ``apply`` takes.

    Parameters
    ----------
    kind : KindName
        Kind of the objects.
    name : str
        Show only this one.
    """
    found = _find_kind(kind)
    return run_on_platform(options, lambda c: get_objects(c, found, name))


@app.command
def describe(kind: KindName, name: str, /, *, options: CommonOptions) -> Outcome:
    """Show every field of an object, who changed it last and what belongs to it.

    Parameters
    ----------
    kind : KindName
        Kind of the object.
    name : str
        Name of the object.
    """
    found = _find_kind(kind)
    return run_on_platform(options, lambda c: describe_object(c, found, name))


@app.command
def delete(kind: KindName, name: str, /, *, options: CommonOptions) -> Outcome:
    """Delete an object.

    A profile that a service names and a data centre that has hosts are not
    deleted.

    Parameters
    ----------
    kind : KindName
        Kind of the object.
    name : str
        Name of the object.
    """
    found = _find_kind(kind)
    return run_on_platform(options, lambda c: delete_object(c, found, name))


@app.command
def status(*, daemon: list[str] | None = None, options: CommonOptions) -> Outcome:
    """Show services, hosts, data centres and balancers.

    Parameters
    ----------
    daemon : list of str
        Status address (IP:PORT) of a daemon to ask as well; may be repeated.
    """
    return run_on_platform(options, lambda c: show_status(c, daemon or []))


@host_app.command(name="drain")
def drain_host(
    name: str, /, *, service: str | None = None, options: CommonOptions
) -> Outcome:
    """Let a host finish the flows that it holds and give it no new ones.

    Parameters
    ----------
    name : str
        Name of the host.
    service : str
        Service of the host; needed only where several have a host of this name.
    """
    state = MemberState.DRAINING
    return run_on_platform(options, lambda c: set_host_state(c, name, state, service))


@host_app.command(name="undrain")
def undrain_host(
    name: str, /, *, service: str | None = None, options: CommonOptions
) -> Outcome:
    """Give a draining host new flows again.

    Parameters
    ----------
    name : str
        Name of the host.
    service : str
        Service of the host; needed only where several have a host of this name.
    """
    state = MemberState.ACTIVE
    return run_on_platform(options, lambda c: set_host_state(c, name, state, service))


@data_centre_app.command(name="out")
def take_out(name: str, /, *, options: CommonOptions) -> Outcome:
    """Take a data centre out: it gets no more packets, flows ending there are lost.

    Parameters
    ----------
    name : str
        Name of the data centre.
    """
    state = DataCentreState.OUT
    return run_on_platform(options, lambda c: set_data_centre_state(c, name, state))


@data_centre_app.command(name="in")
def take_in(name: str, /, *, options: CommonOptions) -> Outcome:
    """Bring a data centre back; its hosts begin with a cold start.

    Parameters
    ----------
    name : str
        Name of the data centre.
    """
    state = DataCentreState.IN
    return run_on_platform(options, lambda c: set_data_centre_state(c, name, state))


@voters_app.command(name="reset")
def replace_voters(service: str, /, *, options: CommonOptions) -> Outcome:
    """Give a service new voters after most of the old ones died together.

    Only for a service whose orders all end as "may have run" because its voters are
    gone. By calling this you vouch that no process of the old voters and no agent of
    the service that could reach them still runs cut off from you: one that does could
    run a request twice. The new voters wait 247 s, until copies of older requests
    have died out, before requests that are not repeatable are taken again.

    Parameters
    ----------
    service : str
        Name of the service.
    """
    return run_on_platform(options, lambda c: reset_voters(c, service))


@app.command
def report(
    *,
    daemon: list[str],
    service: list[str] | None = None,
    html: Path | None = None,
    options: CommonOptions,
) -> Outcome:
    """Report the service-level burn of the last hour.

    Shows for each service its objectives, the error budget that is left, burn
    rates over 5 minutes and 1 hour, broken flows, refusals by verdict and the
    imbalance across hosts. The counts of all daemons named are added up, so name
    every balancer and agent. The platform is not needed.

    Parameters
    ----------
    daemon : list of str
        Status address (IP:PORT) of a daemon; repeated for each.
    service : list of str
        Report only this service; may be repeated.
    html : Path
        Write a page with plots to this file as well.
    """
    return report_burn(daemon, service or (), html)


@app.command
def completion(
    shell: Literal["bash", "zsh", "fish"], /, *, options: CommonOptions
) -> Outcome:
    """Print the completion script of a shell, to be read by its start file.

    Parameters
    ----------
    shell : str
        The shell.
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
        PEM file of the certificates to trust in place of the system's.
    output : Form
        Form of what is shown; errors follow it, too, on standard error.
    """
    options = Options(platform, ca_file, output)
    command, bound, ignored = app.parse_args(tokens)
    arguments: dict[str, Any] = dict(bound.kwargs)
    if "options" not in ignored:
        # Help, version and such of the library itself.
        result: object = command(*bound.args, **arguments)
        return result if isinstance(result, int) else 0
    outcome = command(*bound.args, **arguments, options=options)
    return print_outcome(outcome, output)


def run() -> None:
    """Run the tool with the arguments of the process."""
    sys.exit(app.meta(result_action="return_value"))


def _find_kind(name: KindName) -> Kind:
    kind = find_kind(name)
    if kind is None:
        raise ValueError(f"no kind is named {name}")
    return kind


app.register_install_completion_command()

if __name__ == "__main__":
    run()

__all__ = ["app", "run"]
