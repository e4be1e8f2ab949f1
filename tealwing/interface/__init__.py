"""The interface between the decision module and its host: records of settings, events and actions, without logic.

Read settings, then events, then actions.
"""

from tealwing.interface.actions import (
    Action as Action,
)
from tealwing.interface.actions import (
    CancelAttempt as CancelAttempt,
)
from tealwing.interface.actions import (
    CheckHealth as CheckHealth,
)
from tealwing.interface.actions import (
    CloseIdleConnections as CloseIdleConnections,
)
from tealwing.interface.actions import (
    Fail as Fail,
)
from tealwing.interface.actions import (
    FetchEngineList as FetchEngineList,
)
from tealwing.interface.actions import (
    Log as Log,
)
from tealwing.interface.actions import (
    Reject as Reject,
)
from tealwing.interface.actions import (
    Send as Send,
)
from tealwing.interface.actions import (
    SendToPeer as SendToPeer,
)
from tealwing.interface.actions import (
    SetResources as SetResources,
)
from tealwing.interface.actions import (
    SetTimer as SetTimer,
)
from tealwing.interface.actions import (
    Subscribe as Subscribe,
)
from tealwing.interface.events import (
    MAY_STILL_RUN as MAY_STILL_RUN,
)
from tealwing.interface.events import (
    NEVER_RAN as NEVER_RAN,
)
from tealwing.interface.events import (
    WAITING_FOR_LOAD as WAITING_FOR_LOAD,
)
from tealwing.interface.events import (
    AttemptOutcome as AttemptOutcome,
)
from tealwing.interface.events import (
    AttemptProgress as AttemptProgress,
)
from tealwing.interface.events import (
    AttemptResult as AttemptResult,
)
from tealwing.interface.events import (
    ClientGone as ClientGone,
)
from tealwing.interface.events import (
    EngineHealthEstimates as EngineHealthEstimates,
)
from tealwing.interface.events import (
    EngineList as EngineList,
)
from tealwing.interface.events import (
    EngineListEntry as EngineListEntry,
)
from tealwing.interface.events import (
    EngineListKind as EngineListKind,
)
from tealwing.interface.events import (
    Event as Event,
)
from tealwing.interface.events import (
    Health as Health,
)
from tealwing.interface.events import (
    HealthCheckResult as HealthCheckResult,
)
from tealwing.interface.events import (
    HostLoad as HostLoad,
)
from tealwing.interface.events import (
    PeerMessage as PeerMessage,
)
from tealwing.interface.events import (
    ProgressKind as ProgressKind,
)
from tealwing.interface.events import (
    Request as Request,
)
from tealwing.interface.events import (
    ServiceLevel as ServiceLevel,
)
from tealwing.interface.events import (
    StreamStarted as StreamStarted,
)
from tealwing.interface.events import (
    TimerFired as TimerFired,
)
from tealwing.interface.settings import (
    CAPACITY_UTILIZATION as CAPACITY_UTILIZATION,
)
from tealwing.interface.settings import (
    DEFAULT_PRIORITY as DEFAULT_PRIORITY,
)
from tealwing.interface.settings import (
    PRIORITY_SHARES as PRIORITY_SHARES,
)
from tealwing.interface.settings import (
    Idempotency as Idempotency,
)
from tealwing.interface.settings import (
    IdempotencyScope as IdempotencyScope,
)
from tealwing.interface.settings import (
    Limits as Limits,
)
from tealwing.interface.settings import (
    MachineKind as MachineKind,
)
from tealwing.interface.settings import (
    Prices as Prices,
)
from tealwing.interface.settings import (
    RequestClass as RequestClass,
)
from tealwing.interface.settings import (
    Rules as Rules,
)
from tealwing.interface.settings import (
    Settings as Settings,
)
from tealwing.interface.settings import (
    TenantQuota as TenantQuota,
)
