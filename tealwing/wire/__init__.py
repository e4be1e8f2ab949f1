"""The simulator's binary protocol and the platform's settings, mapped to the records of `tealwing.interface`.

Read decoder, encoder, then settings.
"""

from tealwing.wire.decoder import NS as NS
from tealwing.wire.decoder import Decoder as Decoder
from tealwing.wire.decoder import Init as Init
from tealwing.wire.decoder import Teardown as Teardown
from tealwing.wire.decoder import WireEvent as WireEvent
from tealwing.wire.decoder import read_batch as read_batch
from tealwing.wire.encoder import bug as bug
from tealwing.wire.encoder import encode as encode
from tealwing.wire.encoder import reply as reply
from tealwing.wire.errors import WireError as WireError
from tealwing.wire.setting_keys import lacking_keys as lacking_keys
from tealwing.wire.setting_keys import unmarked_keys as unmarked_keys
from tealwing.wire.settings import parse_settings as parse_settings
