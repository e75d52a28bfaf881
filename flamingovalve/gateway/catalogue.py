"""Documents published by operators and upstreams, as known to this VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, Protocol

from flamingovalve.errors import Undecodable
from flamingovalve.gateway.model import (
    EMPTY,
    AdapterVersion,
    Configuration,
    Upstream,
    UpstreamState,
)
from flamingovalve.gateway.published.coverage import (
    CompleteRevision,
    Coverage,
    SeenRevision,
)
from flamingovalve.gateway.software_history import SoftwareHistory
from flamingovalve.generated.ids import UpstreamId
from flamingovalve.generated.messages import Document
from flamingovalve.util import clock
from flamingovalve.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Collection

    from flamingovalve.generated.ids import AdapterId, ModelId, ServiceId

logger = get_logger(__name__)

# Time for which a lapsed entry stays listed after an outage of the store. Live
# upstreams write theirs again within two seconds of its return. A leaving
# upstream must get no new requests after two seconds, so this is a little less.
_LAPSE_GRACE_SECONDS: Final = 1.5
# A deletion within this time of an outage may be the lapse of a live upstream's
# entry. Covers some heartbeats and the return of the store.
_RECENT_OUTAGE_SECONDS: Final = 6.0


class Decoder(Protocol):
    """Converts published documents to the types of the gateway."""

    def __call__(
        self,
        document: Document,
    ) -> Configuration | Upstream | AdapterVersion | None:
        """Decode one document; return None if it is irrelevant here."""


@dataclass(slots=True)
class CatalogueCounts:
    """Counts of received documents since this process started.

    :ivar applied: documents that changed the catalogue
    :ivar unchanged: documents of a newer revision with equal content
    """

    applied: int = 0
    unchanged: int = 0
    older: int = 0
    undecodable: int = 0
    configurations: int = 0


@dataclass(slots=True)
class _KnownUpstream:
    """A registered upstream.

    :ivar key: key of the document that describes it; empty for none
    """

    upstream: Upstream
    key: str
    lapses_at: float = float('inf')


@dataclass(slots=True)
class _KnownDocument:
    """The newest document under a key.

    :ivar changed_at: revision that introduced its present content
    """

    document: Document
    decoded: Any
    changed_at: SeenRevision


@dataclass(frozen=True, slots=True)
class _Unusable:
    """Stands for the content of a document that cannot be decoded."""

    reason: str


class Catalogue:
    """The newest published configuration, upstreams and adapter versions.

    A document is applied only if its revision is higher than that of the
    known one, whatever its source, so an accepted change is never reverted.

    :ivar revision: highest revision that was received
    :ivar changed_revision: highest revision that changed the catalogue
    :ivar coverage: revisions between which no change was missed
    :ivar may_have_lapsed: whether documents that the last complete list lacked
        may have been deleted around an outage of the store
    :ivar software: software versions of the services
    :ivar store_unreachable_at: time of the last failed call to the store, on
        the monotonic clock
    """

    def __init__(self, decode: Decoder) -> None:
        """Create an empty catalogue.

        :param decode: converts documents to values
        """
        self.configuration = EMPTY
        self.counts = CatalogueCounts()
        self.revision = SeenRevision(0)
        self.changed_revision = SeenRevision(0)
        self.coverage = Coverage()
        self.may_have_lapsed = False
        self.store_unreachable_at = float('-inf')
        self.software = SoftwareHistory()
        self._decode = decode
        self._known_by_key: dict[str, _KnownDocument] = {}
        self._upstreams_by_id: dict[UpstreamId, _KnownUpstream] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._listed_by_service: dict[ServiceId, list[Upstream]] = {}
        self._lists_valid_until = float('-inf')

    @property
    def is_ready(self) -> bool:
        """Whether there is a configuration."""
        return self.configuration is not EMPTY

    def apply_from_store(
        self, document: Document, *, in_sequence: bool
    ) -> bool:
        """Apply a document read from the store; return whether it was a change.

        The VM that reads a deletion knows whether it had lost the store
        before, and marks the document as lapsed accordingly. Other VMs must
        not infer this: if they took a leaving upstream's entry for lapsed
        because some VM had lost the store, the upstream would get requests
        for 1.5 s too long.
        """
        document.lapsed = document.deleted and self._has_recent_outage()
        return self.apply(document, in_sequence=in_sequence)

    def apply(self, document: Document, *, in_sequence: bool = False) -> bool:
        """Apply a document; return whether it was a change.

        Upstreams rewrite their entries with each load of an adapter, 58 times
        a second for 70 engines, without any other change. Passed on as
        changes, each would cost a call between VMs on every VM.

        :param in_sequence: whether no change of the key can have been missed
        """
        known = self._known_by_key.get(document.key)
        if known is not None and known.document.revision >= document.revision:
            self.counts.older += 1
            return False
        revision = SeenRevision(document.revision)
        self.revision = max(self.revision, revision)
        decoded = None if document.deleted else self._decode_or_mark(document)
        self._note_unusable(known, document, decoded)
        if (
            known
            and in_sequence
            and _has_equal_content(known, document, decoded)
        ):
            self.counts.unchanged += 1
            known.document = document
            return False
        entry = _KnownDocument(document, decoded, revision)
        self._known_by_key[document.key] = entry
        self.changed_revision = max(self.changed_revision, revision)
        self.counts.applied += 1
        if document.deleted:
            self._delete(document.key, lapsed=document.lapsed)
        else:
            self._apply_decoded(document.key, decoded)
        return True

    def replace_all(
        self, documents: list[Document], revision: CompleteRevision
    ) -> bool:
        """Apply a complete read of the store and delete what it lacks.

        :param revision: revision up to which the documents are complete
        :returns: whether the catalogue changed
        """
        applied = [
            self.apply_from_store(document, in_sequence=False)
            for document in documents
        ]
        keys = {document.key for document in documents}
        lapsed = self._has_recent_outage()
        removed = self.remove_missing(keys, revision, lapsed=lapsed)
        return removed or any(applied)

    def remove_missing(
        self,
        keys: Collection[str],
        revision: CompleteRevision,
        *,
        lapsed: bool,
    ) -> bool:
        """Delete the documents that a complete list lacks.

        :param keys: keys of the documents that exist
        :param revision: revision up to which the list is complete
        :param lapsed: whether documents may have lapsed around an outage
        :returns: whether the catalogue changed
        """
        missing = [
            Document(key, revision, b'', deleted=True, lapsed=lapsed)
            for key, known in self._known_by_key.items()
            if key not in keys
            and not known.document.deleted
            and known.document.revision <= revision
        ]
        self.may_have_lapsed = lapsed
        self.coverage.restart(revision)
        changes = [self.apply(document) for document in missing]
        return any(changes)

    def keys(self) -> list[str]:
        """Return the keys of the documents that exist."""
        return [
            key
            for key, known in self._known_by_key.items()
            if not known.document.deleted
        ]

    def after(self, revision: CompleteRevision) -> list[Document]:
        """Return the changes after ``revision``, oldest first."""
        newer = [
            known.document
            for known in self._known_by_key.values()
            if known.changed_at > revision
        ]
        return sorted(newer, key=lambda document: document.revision)

    def upstreams(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams of a service that take new requests.

        The list is cached, as each request reads it several times and it
        rarely changes. Rebuilding it on each call took a twentieth of the
        processor time of a VM that served 74 upstreams.
        """
        if clock.now() >= self._lists_valid_until:
            self._rebuild_lists()
        return self._listed_by_service.get(service, [])

    def _rebuild_lists(self) -> None:
        self._listed_by_service = {}
        self._lists_valid_until = float('inf')
        for known in self._upstreams_by_id.values():
            if not self._takes_requests(known):
                continue
            self._lists_valid_until = min(
                self._lists_valid_until, known.lapses_at
            )
            listed = self._listed_by_service.setdefault(
                known.upstream.service,
                [],
            )
            listed.append(known.upstream)

    def find_upstream(self, name: UpstreamId) -> Upstream | None:
        """Return a registered upstream, whatever its state."""
        known = self._upstreams_by_id.get(name)
        return known.upstream if known else None

    def lists(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is registered."""
        return upstream in self._upstreams_by_id

    def takes_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes new requests."""
        known = self._upstreams_by_id.get(upstream.id)
        return known is not None and self._takes_requests(known)

    def wanted_version(self, model: ModelId, adapter: AdapterId) -> int:
        """Return the required version of an adapter; 0 if any is accepted."""
        return self._versions.get((model, adapter), 0)

    def record_store_unreachable(self) -> None:
        """Record that the store could not be read now."""
        self.store_unreachable_at = clock.now()

    def _has_recent_outage(self) -> bool:
        unreachable_seconds = clock.now() - self.store_unreachable_at
        return unreachable_seconds <= _RECENT_OUTAGE_SECONDS

    def _takes_requests(self, known: _KnownUpstream) -> bool:
        if known.upstream.state is not UpstreamState.READY:
            return False
        return clock.now() < known.lapses_at

    def _decode_or_mark(self, document: Document) -> Any:
        try:
            return self._decode(document)
        except Undecodable as error:
            self.counts.undecodable += 1
            return _Unusable(str(error))

    def _note_unusable(
        self, known: _KnownDocument | None, document: Document, decoded: Any
    ) -> None:
        """Log why a document is ignored, unless the log says so already."""
        if not isinstance(decoded, _Unusable):
            return
        if known is None or known.decoded != decoded:
            logger.warning(
                'ignoring document {} of revision {}: {}',
                document.key,
                document.revision,
                decoded.reason,
            )

    def _apply_decoded(self, key: str, decoded: Any) -> None:
        if isinstance(decoded, Configuration):
            self._apply_configuration(decoded)
        elif isinstance(decoded, Upstream):
            self._apply_upstream(decoded, key)
        elif isinstance(decoded, AdapterVersion):
            name = (decoded.model, decoded.adapter)
            self._versions[name] = decoded.version

    def _apply_configuration(self, configuration: Configuration) -> None:
        if configuration.version < self.configuration.version:
            logger.warning(
                'ignoring configuration {}, as it is older than {}',
                configuration.version,
                self.configuration.version,
            )
            return
        self.counts.configurations += 1
        self.configuration = configuration
        logger.info(
            'configuration {} is in force; services={}',
            configuration.version,
            len(configuration.services_by_name),
        )

    def _apply_upstream(self, upstream: Upstream, key: str = '') -> None:
        self._lists_valid_until = float('-inf')
        known = self._upstreams_by_id.get(upstream.id)
        self.software.add(upstream)
        if known is not None:
            self.software.remove(known.upstream)
        self._upstreams_by_id[upstream.id] = _KnownUpstream(upstream, key)
        if known is None or known.upstream.state is not upstream.state:
            logger.info(
                'upstream {} of {} is {}',
                upstream.id,
                upstream.service,
                upstream.state.value,
            )

    def _delete(self, key: str, *, lapsed: bool) -> None:
        name = UpstreamId(key.rpartition('/')[2])
        known = self._upstreams_by_id.get(name)
        if known is None or known.key not in {'', key}:
            return
        self._lists_valid_until = float('-inf')
        if not lapsed:
            del self._upstreams_by_id[name]
            self.software.remove(known.upstream)
            logger.info('upstream {} was removed', name)
            return
        known.lapses_at = min(
            known.lapses_at, clock.now() + _LAPSE_GRACE_SECONDS
        )
        logger.info(
            'entry of upstream {} lapsed during an outage of the store', name
        )


def _has_equal_content(
    known: _KnownDocument,
    document: Document,
    decoded: Any,
) -> bool:
    if known.document.deleted or document.deleted:
        return False
    return bool(known.decoded == decoded)
