"""Service registry: starts and closes services and runs their tasks."""

from __future__ import annotations

from .kernel import Kernel, ServiceMissing
from .mailbox import Mailbox
from .service import Service

__all__ = ["Kernel", "Mailbox", "Service", "ServiceMissing"]
