Feature: The coordinator plans from the record in force

  A daemon that takes the coordinator's role and is frozen may be declared lost by the previous
  coordinator, which still considers itself the holder and writes records without it. When the
  frozen daemon resumes, the platform's store names it as the coordinator, but it plans from the
  record that it read before. In that record it is a member, every member reports and nothing has to
  change, so it writes nothing; and since it reads the record again only after a write of its own,
  it stays outside the cell until something else changes. The symptoms are a "cell-view" in its log
  with an older version than the newest "record-written" in the other daemon's log, and a status
  with the newest record_version and "no ownership lease".

  Scenario: A coordinator that was replaced for a time plans from the record written meanwhile
    Given a coordinator of a cell of 4 daemons that has read the record
    When another coordinator writes a record without the first daemon
    And that record reaches this coordinator's daemon from a peer
    And every daemon reports
    Then the first daemon is a member again

  Scenario: A coordinator learns from a member's report that there is a newer record
    Given a coordinator of a cell of 4 daemons that has read the record
    When another coordinator writes a record without the first daemon
    And every daemon reports, and the others report that they act on that record
    Then the first daemon is a member again

  Scenario: A failed read of the record is repeated
    Given a coordinator of a cell of 4 daemons that has read the record
    And its daemon raises an error once when it takes a record
    When another coordinator writes a record without the first daemon
    And every daemon reports, and the others report that they act on that record
    Then the first daemon is a member again

  Scenario Outline: A coordinator that hears only itself declares no member lost: cell of <count>
    Given a coordinator of a cell of <count> daemons that has read the record
    When only its own daemon reports for 3 seconds, and reports that it hears no other
    Then the record in the store is the one that it read

    Examples:
      | count |
      | 2     |
      | 3     |
      | 4     |

  Scenario Outline: A daemon that hears no other of its cell leaves the role to its holder: <case>
    Given a daemon that looks for the coordinator of its cell, and <holder>
    When it gets no reply for 20 seconds while it <hears>
    Then it <takes> the role

    Examples:
      | case                         | holder                     | hears          | takes         |
      | cut off, the others continue | another one holds the role | hears no other | does not take |
      | the coordinator has ended    | another one holds the role | hears others   | takes         |
      | the only daemon left, later  | no daemon holds the role   | hears no other | takes         |
      | restarted beside its server  | it holds the role itself   | hears no other | takes         |

  # A daemon that gets a heartbeat and does not coordinate says so in its reply. Such a reply of a
  # former coordinator may arrive late. If it ended the heartbeats to the present coordinator, that
  # one would send no more replies, and after 0.7 s without any the daemon would take over the role.
  Scenario: A late reply of a former coordinator does not end heartbeats to the present one
    Given a daemon that follows the coordinator at "10.0.0.2:1"
    When a late reply of the daemon at "10.0.0.3:1" says that it does not coordinate
    Then it follows "10.0.0.2:1"
    When a late reply of the daemon at "10.0.0.2:1" says that it does not coordinate
    Then it follows no coordinator

  Scenario: A daemon that takes the role again ends its earlier term as coordinator
    Given a daemon that has taken the role
    When it takes the role again, and its earlier term as coordinator ends afterwards
    Then it coordinates, with as many watches on the store as one coordinator has

  # Two coordinators planned in turn for as long as the interval of the role check: each read the
  # other's record after a conflict or from a member, and its next write succeeded.
  Scenario: A coordinator that was replaced writes no record
    Given a coordinator of a cell of 4 daemons that has read the record
    When another daemon takes the role
    And every daemon reports, and the second one that it is in a planned stop
    Then the record in the store is the one that it read
    And it has given up the role to "10.0.0.9:1"

  Scenario: A coordinator that reads another daemon's record checks the role before it plans
    Given a coordinator of a cell of 4 daemons that has read the record
    When another daemon takes the role
    And another coordinator writes a record without the first daemon
    And that record reaches this coordinator's daemon from a peer
    And the coordinator ticks once
    Then it has given up the role to "10.0.0.9:1"

  # The members noticed the end of a coordinator by its missing replies only, while another daemon
  # of the cell was in a planned stop.
  Scenario: A daemon in a planned stop gives up the coordinator's role first
    Given a daemon that has taken the role and read the record of a cell of 4
    When its planned stop begins
    Then no daemon holds the role
    And the other members are notified that it does not coordinate
    And it does not coordinate

  Scenario: A coordinator whose planned stop begins while the store is unavailable gives the role up later
    Given a daemon that has taken the role and read the record of a cell of 4
    When its planned stop begins while the store is unavailable
    Then it coordinates
    When the store has been available again for 1 second
    Then no daemon holds the role
    And it does not coordinate

  Scenario: A coordinator that no active member can succeed keeps the role in its planned stop
    Given a daemon that has taken the role and read the record of a cell of 4
    When its planned stop begins while all others are draining
    Then it coordinates

  Scenario: A daemon that takes the role while its planned stop begins gives it up again
    Given a daemon that has read the record of a cell of 4 and whose planned stop has begun
    When the store confirms that it has taken the role
    Then no daemon holds the role
    And it does not coordinate

  Scenario: A planned stop that begins before the new coordinator has read the record hands the role over
    Given a daemon that has taken the role while the store is unavailable
    When its planned stop begins while the store is unavailable
    And the store has been available again for 1 second
    Then no daemon holds the role

  # The cell had no coordinator until a daemon that waited for its replies replaced it.
  Scenario: A daemon that still has the role as it ends returns it
    Given a daemon that has taken the role and read the record of a cell of 4
    When its planned stop begins while all others are draining
    And it ends
    Then it returns the lease of the role's key

  Scenario: A coordinator hands the role over as soon as another member is active
    Given a daemon that has taken the role and read the record of a cell of 4
    When its planned stop begins while all others are draining
    And another member is active for 1 second
    Then no daemon holds the role

  Scenario: A daemon that takes the role as it ends returns it
    Given a daemon that has read the record of a cell of 4 and whose planned stop has begun
    When it ends and the store confirms that it has taken the role
    Then it returns the lease of the role's key

  # It looked for a coordinator again and again, but sent no heartbeat to the one that it found.
  Scenario: A daemon that leaves the role to its holder goes on sending heartbeats to it
    Given a daemon that looks for the coordinator of its cell, and another one holds the role
    When it gets no reply for 3 seconds while it hears no other
    Then it has found the holder at "10.0.0.9:1" in the last second

  Scenario Outline: A daemon in a planned stop leaves the role to the others: <case>
    Given a daemon that looks for the coordinator of its cell, and no daemon holds the role
    When it gets no reply for 5 seconds and <may> take the role
    Then it <takes> the role

    Examples:
      | case             | may     | takes         |
      | the others do    | may not | does not take |
      | none of them did | may     | takes         |

  Scenario: A member looks for a coordinator at once when the known one has given up the role
    Given a daemon that looks for the coordinator of its cell, and no daemon holds the role
    When its coordinator has replied, and says 0.1 seconds later that it does not coordinate
    Then it takes the role within 0.2 seconds
