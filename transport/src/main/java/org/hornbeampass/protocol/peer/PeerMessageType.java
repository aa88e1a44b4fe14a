package org.hornbeampass.protocol.peer;

import org.hornbeampass.coordination.address.ConditionReport;
import org.hornbeampass.coordination.budget.AskGrant;
import org.hornbeampass.coordination.budget.AskRefused;
import org.hornbeampass.coordination.budget.MoveAck;
import org.hornbeampass.coordination.budget.MoveGrant;
import org.hornbeampass.coordination.capacity.CapacityReport;
import org.hornbeampass.coordination.config.PullReply;
import org.hornbeampass.coordination.config.PullRequest;
import org.hornbeampass.coordination.config.RevisionReport;
import org.hornbeampass.coordination.config.RevisionsReply;
import org.hornbeampass.coordination.config.RevisionsRequest;
import org.hornbeampass.coordination.config.SnapshotPart;
import org.hornbeampass.coordination.config.SnapshotRequest;
import org.hornbeampass.coordination.drain.DrainAnswer;
import org.hornbeampass.coordination.drain.DrainOrder;
import org.hornbeampass.coordination.escrow.LoanReply;
import org.hornbeampass.coordination.escrow.LoanRequest;
import org.hornbeampass.coordination.escrow.RecordNotice;
import org.hornbeampass.coordination.escrow.TokenTransfer;
import org.hornbeampass.coordination.membership.Ack;
import org.hornbeampass.coordination.membership.Gossip;
import org.hornbeampass.coordination.membership.IndirectAck;
import org.hornbeampass.coordination.membership.IndirectPing;
import org.hornbeampass.coordination.membership.Ping;
import org.hornbeampass.coordination.membership.SyncReply;
import org.hornbeampass.coordination.membership.SyncRequest;
import org.hornbeampass.coordination.news.ViewChangesReply;
import org.hornbeampass.coordination.news.ViewChangesRequest;
import org.hornbeampass.coordination.news.ViewFeed;
import org.hornbeampass.coordination.peer.PeerMessage;
import org.hornbeampass.coordination.quarantine.SuspectReport;
import org.hornbeampass.coordination.ratelimit.PermitReply;
import org.hornbeampass.coordination.ratelimit.PermitRequest;
import org.hornbeampass.coordination.ratelimit.SlowStartRequest;
import org.hornbeampass.coordination.requests.EntriesDecided;
import org.hornbeampass.coordination.requests.EntriesRefused;
import org.hornbeampass.coordination.requests.SubmitEntries;
import org.hornbeampass.coordination.service.InFlightReport;
import org.hornbeampass.coordination.service.SignalReport;
import org.hornbeampass.coordination.service.UpstreamModelReport;
import org.hornbeampass.coordination.stream.OriginReply;
import org.hornbeampass.coordination.stream.OriginRequest;
import org.hornbeampass.coordination.stream.StreamBegun;
import org.hornbeampass.protocol.peer.PeerType.Form;

/**
 * Lists all types of messages between routers.
 *
 * <p>Numbers are never reused for another message. The ranges are: membership 1 to 19,
 * configuration 20 to 39, budgets 40 to 59, requests 60 to 79, routing 80 to 94, operators 95 to
 * 99. Number 82 is no longer used. A router that receives an unknown number counts the frame and,
 * for a request, responds that the request is unsupported. Immutable; safe for use by any thread.
 */
public enum PeerMessageType {
    PING(1, Ping.class, Form.REQUEST),
    ACK(2, Ack.class, Form.REPLY),
    INDIRECT_PING(3, IndirectPing.class, Form.REQUEST),
    INDIRECT_ACK(4, IndirectAck.class, Form.REPLY),
    SYNC_REQUEST(5, SyncRequest.class, Form.REQUEST),
    SYNC_REPLY(6, SyncReply.class, Form.REPLY),
    GOSSIP(7, Gossip.class, Form.ONE_WAY),
    PULL_REQUEST(20, PullRequest.class, Form.REQUEST),
    PULL_REPLY(21, PullReply.class, Form.REPLY),
    SNAPSHOT_REQUEST(22, SnapshotRequest.class, Form.REQUEST),
    SNAPSHOT_PART(23, SnapshotPart.class, Form.REPLY),
    REVISION_REPORT(24, RevisionReport.class, Form.ONE_WAY),
    REVISIONS_REQUEST(25, RevisionsRequest.class, Form.REQUEST),
    REVISIONS_REPLY(26, RevisionsReply.class, Form.REPLY),
    VIEW_CHANGES_REQUEST(27, ViewChangesRequest.class, Form.REQUEST),
    VIEW_CHANGES_REPLY(28, ViewChangesReply.class, Form.REPLY),
    VIEW_FEED(29, ViewFeed.class, Form.ONE_WAY),
    ASK_GRANT(40, AskGrant.class, Form.REQUEST),
    ASK_REFUSED(41, AskRefused.class, Form.REPLY),
    MOVE_GRANT(42, MoveGrant.class, Form.REQUEST),
    MOVE_ACK(43, MoveAck.class, Form.ONE_WAY),
    LOAN_REQUEST(44, LoanRequest.class, Form.REQUEST),
    LOAN_REPLY(45, LoanReply.class, Form.REPLY),
    TOKEN_TRANSFER(46, TokenTransfer.class, Form.ONE_WAY),
    RECORD_NOTICE(47, RecordNotice.class, Form.ONE_WAY),
    SUBMIT_ENTRIES(60, SubmitEntries.class, Form.REQUEST),
    ENTRIES_DECIDED(61, EntriesDecided.class, Form.REPLY),
    ENTRIES_REFUSED(62, EntriesRefused.class, Form.REPLY),
    IN_FLIGHT_REPORT(80, InFlightReport.class, Form.ONE_WAY),
    SUSPECT_REPORT(81, SuspectReport.class, Form.ONE_WAY),
    SIGNAL_REPORT(83, SignalReport.class, Form.ONE_WAY),
    PERMIT_REQUEST(84, PermitRequest.class, Form.REQUEST),
    PERMIT_REPLY(85, PermitReply.class, Form.REPLY),
    SLOW_START_REQUEST(86, SlowStartRequest.class, Form.REQUEST),
    CONDITION_REPORT(87, ConditionReport.class, Form.ONE_WAY),
    STREAM_BEGUN(88, StreamBegun.class, Form.ONE_WAY),
    ORIGIN_REQUEST(89, OriginRequest.class, Form.REQUEST),
    ORIGIN_REPLY(90, OriginReply.class, Form.REPLY),
    CAPACITY_REPORT(91, CapacityReport.class, Form.ONE_WAY),
    UPSTREAM_MODEL_REPORT(92, UpstreamModelReport.class, Form.ONE_WAY),
    DRAIN_ORDER(95, DrainOrder.class, Form.REQUEST),
    DRAIN_ANSWER(96, DrainAnswer.class, Form.REPLY);

    private final int mNumber;
    private final Class<? extends PeerMessage> mMessageClass;
    private final Form mForm;

    PeerMessageType(int number, Class<? extends PeerMessage> messageClass, Form form) {
        mNumber = number;
        mMessageClass = messageClass;
        mForm = form;
    }

    /** Returns the number, record class and form of the message. */
    public PeerType type() {
        return new PeerType(mNumber, mMessageClass, mForm);
    }
}
