"""Labels, selectors and the operators' checked configuration."""

from .catalog import AdapterKey as AdapterKey
from .catalog import Catalog as Catalog
from .catalog import Forbidden as Forbidden
from .catalog import Plan as Plan
from .catalog import UnknownModel as UnknownModel
from .exceptions import ConfigError as ConfigError
from .exceptions import InvalidConfig as InvalidConfig
from .exceptions import SelectorError as SelectorError
from .findings import Finding as Finding
from .loading import load as load
from .model import Document as Document
from .selector import Selector as Selector
