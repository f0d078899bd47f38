"""Index of one settings revision by key and by route."""

from bergamotdrift.config.schema import SiteSettings
from bergamotdrift.dialect import NATIVE, Dialect
from bergamotdrift.route_split import RouteSplits
from bergamotdrift.stages.authenticate import KeyIndex
from bergamotdrift.stages.route import RouteTable


class SettingsView:
    """Index one settings revision by key and by route."""

    def __init__(
        self,
        revision: int,
        settings: SiteSettings,
        dialect: Dialect = NATIVE,
        splits: RouteSplits | None = None,
    ):
        self.revision = revision
        self.settings = settings
        self.keys = KeyIndex(settings)
        self.routes = RouteTable(settings, dialect, splits)
