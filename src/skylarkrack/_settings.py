"""The settings file of one process: a TOML document, of which every problem is reported."""

import tomllib
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, model_validator

from skylarkrack._addresses import check_address
from skylarkrack._errors import Code, FileRejected
from skylarkrack._problems import Problem, problems_of
from skylarkrack.web import ServerLimits

_Document = TypeVar("_Document", bound=BaseModel)


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]


class _Table(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class EndpointSettings(_Table):
    """The endpoint that an agent serves."""

    kind: Literal["engine", "service"]
    address: Address
    service: Name | None = None


class LimitSettings(_Table):
    """Limits of what callers may make this process hold: bytes, time and connections."""

    head_bytes: int = Field(default=16_384, ge=1024, le=65_536)
    body_bytes: int = Field(default=2_097_152, ge=1024, le=16_777_216)
    read_timeout_ms: int = Field(default=10_000, ge=100, le=120_000)
    connections: int = Field(default=4096, ge=1, le=65_536)

    def to_server_limits(self) -> ServerLimits:
        """Return the limits for `HttpServer`; the read timeout also closes idle connections."""
        return ServerLimits(**self.model_dump(), idle_timeout_ms=self.read_timeout_ms)


class PolicySettings(_Table):
    """Policies of an entry; values other than the defaults are baselines for measurements."""

    budgets: Literal["pooled", "split"] = "pooled"
    routing: Literal["least_cost", "least_loaded", "hash_only"] = "least_cost"


class Settings(_Table):
    """Settings of one daemon process; docs/OPERATIONS.md explains each key."""

    role: Literal["entry", "agent"]
    vm: Name
    domain: Name
    listen: Address
    callers: Address | None = None
    status: Address
    platform: Address
    endpoint: EndpointSettings | None = None
    limits: LimitSettings = LimitSettings()
    policy: PolicySettings = PolicySettings()
    log_level: Literal["DEBUG", "INFO", "WARNING"] = "INFO"

    @model_validator(mode="after")
    def _check_keys_of_role(self) -> "Settings":
        if self.role == "entry" and self.callers is None:
            raise ValueError("an entry needs the key 'callers'")
        if self.role == "agent" and self.endpoint is None:
            raise ValueError("an agent needs the table 'endpoint'")
        return self


def parse_settings(text: str, *, file: str) -> Settings:
    """Return the settings in *text*, or raise `FileRejected` with every problem."""
    return parse_document(text, Settings, file=file)


def parse_document(text: str, model: type[_Document], *, file: str) -> _Document:
    """Return the TOML document in *text* as *model*, or raise `FileRejected` with every problem."""
    try:
        return model.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        problem = Problem(file=file, key="-", found=str(error), allowed="a TOML document")
        raise FileRejected((problem,), code=Code.BAD_SETTINGS) from error
    except ValidationError as error:
        problems = problems_of(error, file=file, model=model)
        raise FileRejected(problems, code=Code.BAD_SETTINGS) from error


def read_settings(path: str) -> Settings:
    """Read and check the settings file at *path*."""
    return parse_settings(Path(path).read_text(encoding="utf-8"), file=path)
