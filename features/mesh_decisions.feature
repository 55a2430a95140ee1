Feature: Decisions of the daemon on a users' platform

  # -- slots ------------------------------------------------------------------------------

  Scenario: A request is queued, and refused when it would wait too long
    Given a target with 2 slots whose requests run 0.1 s
    When 2 requests arrive
    Then both start
    When 2 more requests with an objective of 0.6 s arrive
    Then both wait
    When 12 more requests with an objective of 0.6 s arrive
    Then the last is refused with a retry delay of 0.05 to 1 s

  Scenario: A target that has become slow is detected by the age of its running requests
    Given a target with 2 slots whose requests run 0.1 s
    When 2 requests arrive
    And 1.5 s pass and none of them ends
    Then a request with an objective of 0.6 s is refused

  Scenario: The more urgent request starts first
    Given a target with 1 slots whose requests run 0.1 s
    When a request runs and requests of rank 2, 1 and 2 wait
    Then the one of rank 1 starts next

  Scenario: A request that can no longer get its response in time is not started
    Given a target with 1 slots whose requests run 0.4 s
    When a request runs and one waits whose deadline is near
    Then the waiting one is dropped when the slot becomes free

  Scenario: A key with more requests than its owner can run does not starve the owner's other keys
    Given a target with 4 slots whose requests run 0.1 s
    When 8 requests for one key arrive and then one of a less urgent rank for another key
    Then the one for the other key starts next
    And requests for the hot key get every slot that no other request needs

  # -- choice of a target ------------------------------------------------------------------

  Scenario: The faster of two idle targets is chosen
    Given targets that run a request in 0.3 s and in 0.1 s
    Then the second one gets nearly all requests

  Scenario: A target with all slots taken is passed over
    Given two equal targets of which the first has 12 of 12 slots taken
    Then the second one gets nearly all requests

  Scenario: A target that fails is tried again only after a while
    Given two equal targets of which the first has just failed twice
    Then the second one gets nearly all requests
    And after 8 s the first one gets requests again

  Scenario: A target in the own failure domain is preferred while it costs no latency
    Given two equal targets of which the second is in another failure domain
    Then the first one gets more than half of all requests

  Scenario Outline: A long response stays in the failure domain while that costs little latency
    Given a near target behind a link that needs <near> s for a long response, and a far one whose link needs <far> s
    Then a request of 90 kB goes to the <which> one

    Examples:
      | near | far  | which |
      | 0.13 | 0.13 | near  |
      | 0.14 | 0.13 | near  |
      | 0.40 | 0.13 | far   |

  Scenario: Services of a route get requests exactly in proportion to their weights
    Given a route to "a" with weight 70 and to "b" with weight 30
    When 200 requests use the route
    Then "a" gets 140 of them, plus or minus 1

  # -- after a failed attempt ---------------------------------------------------------------

  Scenario Outline: After a failed attempt: <kind> <service>, <outcome> because of <reason>
    Given a <kind> request to a <service> service with 1.5 s left
    When an attempt ends as "<outcome>" because of "<reason>"
    Then the next step is "<step>"

    Examples:
      | kind   | service | outcome | reason         | step      |
      | safe   | pooled  | unknown | server-failed  | repeat    |
      | unsafe | pooled  | unknown | server-failed  | give up   |
      | unsafe | pooled  | not-run | target-refused | repeat    |
      | unsafe | pooled  | not-run | unreachable    | elsewhere |
      | unsafe | pooled  | not-run | overloaded     | elsewhere |
      | unsafe | keyed   | not-run | overloaded     | give up   |
      | safe   | keyed   | not-run | moved          | elsewhere |
      | safe   | pooled  | not-run | deadline       | give up   |

  Scenario: A request is sent to as many targets as its route allows
    Given a safe request to a pooled service with 1.5 s left
    When two attempts that reached targets failed
    Then the next step is "give up"

  Scenario: A request is not repeated once its body has been forwarded
    Given a safe request to a pooled service with 1.5 s left
    And its body is already being forwarded
    When an attempt ends as "not-run" because of "unreachable"
    Then the next step is "give up"

  Scenario: A request is given up after three targets without a free slot
    Given a safe request to a pooled service with 1.5 s left
    When three targets had no slot for it
    Then the next step is "give up"

  # -- retry budget and links --------------------------------------------------------------

  Scenario: All daemons together stay within the retry budget
    Given a retry budget of 0.2 of the requests and 64 more within 10 s, for 14 daemons
    When each daemon receives 100 requests and asks for as many retries
    Then no more than 344 retries are allowed in all

  Scenario: A faster target behind a congested link is passed over
    Given two targets of a service, the first twice as fast as the other, each behind a link of 13 Mbit/s
    When the first has just received 600000 bytes of long responses to send
    Then a request with a long response goes to the second target, and to the first again 2 s later
    And a request with a short response goes to the first target

  Scenario: A queue on a fast link does not divert requests
    Given two targets of a service, the first twice as fast as the other, each behind a link of 1000 Mbit/s
    When the first has just received 600000 bytes of long responses to send
    Then a request with a long response goes to the first target

  # -- members -------------------------------------------------------------------------------

  Scenario: A member whose entry has expired is tried as long as it can be reached
    Given members "one" and "two" of a service
    When the entry of "one" is removed
    Then both may get requests
    When "one" cannot be reached
    Then only "two" may get requests
    When the entry of "one" is written again
    Then both may get requests

  Scenario: A member whose entry has expired is kept as long as the store is unavailable
    Given members "one" and "two" of a service
    And the store does not respond
    When the entry of "one" is removed
    And 60 s pass
    Then both may get requests
    When the store responds again
    And 60 s pass
    Then only "two" may get requests

  Scenario: A member whose entry has expired is kept as long as it reports
    Given members "one" and "two" of a service
    When the entry of "one" is removed
    And 60 s pass and then "one" reports
    Then both may get requests
    When 120 s pass
    Then only "two" may get requests

  Scenario: A target that its daemon reports as draining gets no more requests
    Given members "one" and "two" of a service
    When the daemon of "one" reports that its target takes no new work
    Then only "two" may get requests

  Scenario Outline: Changes need few store calls for any number of daemons that follow them: <members> members
    Given <members> daemons and a store in which one of them changes every <every> s
    When they follow the members for 20 s
    Then all daemons together have made at most <calls> calls for changes, and missed none older than 2 s
    And each has read all members from the store at most 1 times

    Examples:
      | members | every | calls |
      | 14      | 2     | 60    |
      | 83      | 0.33  | 420   |
      | 200     | 0.33  | 660   |

  Scenario: When the watchers of the store are lost, the other daemons still receive changes
    Given 40 daemons and a store in which one of them changes every 0.5 s
    When they follow the members for 10 s
    And the watchers are lost and 8 s pass
    Then none of the others has missed a change older than 3 s
    And each has read all members from the store at most 1 times

  Scenario: Connections to the store stall without being closed
    Given 40 daemons and a store in which one of them changes every 0.5 s
    When they follow the members for 10 s
    And all connections to the store stall while new ones work, and 9 s pass
    Then none of them has missed a change older than 3 s
    And each has read all members from the store at most 1 times

  # -- key maps ------------------------------------------------------------------------------

  Scenario: The first map divides the keys by capacity
    Given owners with capacities 100, 50 and 50
    Then the first map gives them 32768, 16384 and 16384 keys

  Scenario: A group of neighbouring keys with high load is split among targets with free capacity
    Given owners with capacities 100, 100 and 100
    When 60 requests a second go to 200 neighbouring keys of the first owner and 20 to each other owner
    Then the next map brings every owner's rate to within 15 of the mean
    And every range that moved names its former owner as predecessor and has a higher fence

  Scenario: A key with more load than its owner can serve moves to the fastest owner, which gives up other keys
    Given owners with capacities 30, 70 and 40
    When one key of the first owner gets 60 requests a second and each owner's other keys 10
    Then the next map gives that key to the owner with capacity 70, with at most 2 requests a second for its other keys

  Scenario: A key with more load than its owner can serve stays when no owner is much faster
    Given owners with capacities 40, 50 and 40
    When one key of the first owner gets 60 requests a second and each owner's other keys 2
    Then the next map leaves that key where it is

  Scenario: A key that has become hot moves to a fast owner even when another key looks hotter
    Given owners with capacities 30, 70 and 60
    When one key of the second owner gets 120 requests a second and one of the first owner 80
    Then the next map leaves the second owner's key where it is and moves the first owner's key to the third

  Scenario: Load is levelled in one plan for any number of owners
    Given 43 owners with capacity 40
    When 130 requests a second go to 200 neighbouring keys of the first owner and 5 to each other owner
    Then the next map brings every owner's rate to within 15 of the mean

  Scenario: An owner that joins without load gets its share of the keys
    Given owners with capacities 100, 100 and 100
    When a fourth owner joins while there is no load
    Then the next map gives the new owner between 10000 and 16384 keys

  Scenario: An owner that joins under load gets part of the load
    Given owners with capacities 100, 100 and 100
    When 60 requests a second go to each owner and a fourth owner joins
    Then the next map gives the new owner between 15 and 46 requests a second

  Scenario: Small differences in load move no keys
    Given owners with capacities 100, 100 and 100
    When 42 requests a second go to the first owner and 36 to each other owner
    Then there is no next map

  Scenario: The measured load of a key is kept when its owner changes
    Given owners that report their request counts four times in 2 s
    When key 7 gets 10 requests a second, first at one owner and then at another
    Then its load is 10 requests a second, plus or minus 4

  Scenario: A key that becomes hot is detected within two reports
    Given 4 owners of equal parts that got 10 requests a second each for 6 s
    When 100 more requests a second go to keys of the first part for 0.8 s
    Then the usual load was reset once, and the first owner's rate is 70 to 130 a second

  Scenario: Random variation is not taken for a surge
    Given 4 owners of equal parts that got 10 requests a second each for 6 s
    When the same load continues for 60 s with its usual random variation
    Then the usual load was never reset

  Scenario: A key map is sent compressed and accepted only when complete
    Given a key map of 43 owners with 800 ranges
    Then it is sent in less than half of its bytes and received unchanged
    And a truncated map, and data that is not a key map, is logged and changes nothing

  Scenario: A report stays short for any number of keys
    When one owner counts requests for 1000 different keys
    Then its report has at most 64 rows, which together count all requests

  Scenario: A difference within random variation moves no keys
    Given owners with capacities 20, 20 and 20
    When 18 requests a second go to the first owner and 13 to each other owner
    Then there is no next map

  Scenario: The keys of a target that has ended can be reassigned at once
    Given owners with capacities 100, 100 and 100
    When the first owner has ended
    Then the next map gives its keys to the others without a predecessor

  Scenario: Owners that have not been heard from yet keep their keys
    Given owners with capacities 100, 100 and 100
    When only the second owner has been heard from
    Then there is no next map

  Scenario: A daemon with an older key map does not report keys as released
    Given owners with capacities 100, 50 and 50
    And the second owner is assigned the first owner's keys, which it does not hold yet
    When those keys are assigned to the third owner, and its daemon asks for their release
    Then the second owner's daemon does not reply until it has that map, and then reports them released

  Scenario: A release that is reported repeatedly is recorded once
    Given owners with capacities 100, 50 and 50
    When the daemon of the first owner is told 1000 times that a predecessor released its keys
    Then it has recorded one row

  Scenario: Witnesses are spread over failure domains and exclude the target's own instance
    Given 9 instances in 3 failure domains
    Then each target gets 5 witnesses of all 3 domains, none on its own instance

  Scenario: A lost witness is replaced, and the former set stays until the newer one is settled
    Given 9 instances in 3 failure domains
    When a witness of the first target is gone
    Then its newer set omits the lost witness and the former set is kept behind it
    And once the target has settled only the newer set is left

  Scenario Outline: A stored key map that does not cover every key exactly once is refused: <fault>
    When a key map is read whose ranges <fault>
    Then it is refused with a message that names a range

    Examples:
      | fault             |
      | leave a key out   |
      | name a key twice  |
      | end too early     |
