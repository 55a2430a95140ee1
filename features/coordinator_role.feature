Feature: The coordinator's role is held by one who plans from the record in force

  A daemon took the role, read the record and was frozen. Another one had taken the role 0.2 s
  before and still held itself for the coordinator: it took the frozen one for lost and wrote
  three versions without it. Back again, the frozen one was the coordinator by the platform's
  word, but planned from the version that it had read: there it was a member, everybody
  reported, nothing was to be changed, so it wrote nothing, and only after a write of its own
  did it read again. It stayed outside the cell for as long as nothing else happened. The log
  shows it: "cell-view" of version 49 at the one, "record-written" up to version 52 at the other, and
  a status that is at record_version 52 with "no ownership lease".

  Scenario: A coordinator that was replaced for a while plans from what was written meanwhile
    Given a coordinator of a cell of 4 daemons that has read the record
    When another coordinator writes that the first daemon is no member any more
    And that record reaches this coordinator's daemon from a peer
    And every daemon reports
    Then the first daemon is a member again

  Scenario: A coordinator learns from a member's report that there is a newer record
    Given a coordinator of a cell of 4 daemons that has read the record
    When another coordinator writes that the first daemon is no member any more
    And every daemon reports, the others that they act on that record
    Then the first daemon is a member again

  Scenario: A look at the record that goes wrong is made again
    Given a coordinator of a cell of 4 daemons that has read the record
    And its daemon fails once as it takes a record
    When another coordinator writes that the first daemon is no member any more
    And every daemon reports, the others that they act on that record
    Then the first daemon is a member again

  Scenario Outline: A coordinator that hears nobody but itself takes nobody for lost: cell of <count>
    Given a coordinator of a cell of <count> daemons that has read the record
    When it alone reports for 3 seconds, and tells that it hears nobody
    Then the record in the store is the one that it read

    Examples:
      | count |
      | 2     |
      | 3     |
      | 4     |

  Scenario Outline: A daemon that hears none of its cell leaves the role to its holder: <case>
    Given a daemon that seeks the coordinator of its cell, and <holder>
    When it gets no answer for 20 seconds while it <hears>
    Then it <takes> the role

    Examples:
      | case                           | holder                     | hears           | takes         |
      | cut off, the others go on      | another one holds the role | hears nobody    | does not take |
      | the coordinator has ended      | another one holds the role | hears others    | takes         |
      | all that is left, later        | nobody holds the role      | hears nobody    | takes         |
      | started anew beside its server | it holds the role itself   | hears nobody    | takes         |

  # A daemon that is asked by a heartbeat and does not coordinate says so. Such an answer may come
  # late, from one that coordinated before; it used to end the heartbeats to the present
  # coordinator, whose silence then, 0.7 s later, was reason to take the role from it.
  Scenario: Who does not coordinate any more takes the coordinator from nobody
    Given a daemon that follows the coordinator at "10.0.0.2:1"
    When the daemon at "10.0.0.3:1" answers late that it does not coordinate
    Then it follows "10.0.0.2:1"
    When the daemon at "10.0.0.2:1" answers late that it does not coordinate
    Then it follows nobody

  Scenario: A daemon that takes the role anew lets go of what it did as coordinator before
    Given a daemon that has taken the role
    When it takes the role once more, and its earlier term ends late
    Then it coordinates, and waits for no more of the store than one coordinator does
