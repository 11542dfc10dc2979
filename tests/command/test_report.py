"""``report`` queries daemons over HTTP and adds up their counts."""

from __future__ import annotations

import http.server
import json
import threading
import time
from typing import TYPE_CHECKING, Any

import pytest

from balsamstream.command.run import app
from balsamstream.report import BurnRecord, build_page_document

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


class BurnPageHandler(http.server.BaseHTTPRequestHandler):
    """Serves the burn page of one agent."""

    def do_GET(self) -> None:
        """Answer with the burn page."""
        record = BurnRecord("comptoir-1", "medina")
        record.count_answer("comptoir", 0.01, time.time())
        body = json.dumps(build_page_document(record.build_page(time.time()))).encode()
        self.send_response(200 if self.path == "/burn" else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments: object) -> None:
        """Log nothing."""


@pytest.fixture
def address() -> Iterator[str]:
    listener = http.server.ThreadingHTTPServer(("127.0.0.1", 0), BurnPageHandler)
    thread = threading.Thread(target=listener.serve_forever)
    thread.start()
    yield f"127.0.0.1:{listener.server_port}"
    listener.shutdown()
    thread.join()
    listener.server_close()


def run_command(*arguments: str) -> Any:
    return app.meta(arguments, result_action="return_value")


def test_report_uses_the_daemons_that_answer(
    address: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    page = tmp_path / "burn.html"
    daemons = ("--daemon", address, "--daemon", "127.0.0.1:1")
    assert run_command("report", *daemons, "--html", str(page), "--output", "json") == 0
    value = json.loads(capsys.readouterr().out)
    assert [item["requests"] for item in value["services"]] == [1]
    assert value["warnings"][0].startswith("127.0.0.1:1 is left out")
    assert "comptoir" in page.read_text(encoding="utf-8")
    assert run_command("report", *daemons) == 0
    assert "within budget" in capsys.readouterr().out


def test_report_fails_without_daemons_or_known_services(address: str) -> None:
    assert run_command("report", "--daemon", "127.0.0.1:1") == 6
    assert run_command("report", "--daemon", address, "--service", "none") == 5
    with pytest.raises(SystemExit) as stop:
        run_command("report")
    assert stop.value.code == 2
