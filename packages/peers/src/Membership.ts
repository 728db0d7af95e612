/** A daemon of the fleet, as this daemon sees it. */
export interface PeerMember {
  readonly instanceId: string;
  /** IP:port at which it receives calls and datagrams. */
  readonly address: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'suspect' | 'leaving' | 'dead';
  /** Differs after each restart of the process. */
  readonly incarnation: string;
}

/** The members of the fleet that this daemon knows, and their states. */
export interface Membership {
  readonly self: () => PeerMember;
  /** Returns every member that is not known to be dead, including this one, ordered by id. */
  readonly members: () => readonly PeerMember[];
  /** Calls `listener` after each change; returns a function that unsubscribes it. */
  readonly onChange: (listener: () => void) => () => void;
  /** Marks this daemon as leaving, so that the other daemons learn of it. */
  readonly leave: () => void;
}

/** The membership, including members that were declared dead. */
export interface MembershipWithDead extends Membership {
  /** Returns the members that were declared dead and are still remembered (6 hours). */
  readonly dead: () => readonly PeerMember[];
}
