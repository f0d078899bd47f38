"""In-process fake of the replicated log, shared by several state machines."""

import gevent

from bergamotdrift.exceptions import CallError, ErrorKind, Refusal
from bergamotdrift.replication import ReplicaStatus


class FakeLog:
    """Applies each command to every state machine, in the same order."""

    def __init__(self):
        self.index = 0
        self.term = 0
        self.machines = []

    def commit(self, command):
        self.index += 1
        outcomes = [m.apply(self.index, command) for m in self.machines]
        assert all(outcome == outcomes[0] for outcome in outcomes)
        return outcomes[0]


class FakeReplicator:
    """Leads while `leads` is set, and holds its quorum lease while `has_lease` is.

    The next `dropped_proposals` proposals are dropped and the next `lost_replies`
    ones committed; both end with NO_QUORUM.
    """

    def __init__(self, log, name, machine):
        self.log, self.name = log, name
        log.machines.append(machine)
        self.leads = False
        self.has_lease = True
        self.address = ""
        self.dropped_proposals = 0
        self.lost_replies = 0

    def become_leader(self):
        self.log.term += 1
        self.leads = True

    def is_leader(self):
        return self.leads and self.has_lease

    def leads_term(self):
        return self.leads

    def term(self):
        return self.log.term

    def leader_address(self):
        return self.address

    def propose(self, command, timeout_ms):
        gevent.sleep(0.001)
        if not self.is_leader():
            raise CallError(Refusal(ErrorKind.NOT_LEADER))
        if self.dropped_proposals > 0:
            self.dropped_proposals -= 1
            raise CallError(Refusal(ErrorKind.NO_QUORUM))
        outcome = self.log.commit(command)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            raise CallError(Refusal(ErrorKind.NO_QUORUM))
        return outcome

    def request_leadership(self):
        """Do nothing; tests choose the leader."""

    def add_learner(self, replica, address, timeout_ms):
        raise NotImplementedError

    def remove_member(self, replica, timeout_ms):
        raise NotImplementedError

    def status(self):
        leader = self.name if self.leads else ""
        index = self.log.index
        return ReplicaStatus(
            self.name, leader, self.log.term, index, index, self.leads, ()
        )
