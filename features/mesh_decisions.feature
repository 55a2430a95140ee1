Feature: Decisions of the daemon on a users' platform

  # -- slots ------------------------------------------------------------------------------

  Scenario: A request waits while the queue moves and is refused when it would wait too long
    Given a target with 2 slots whose requests run 0.1 s
    When 2 requests come
    Then both start
    When 2 more requests with an objective of 0.6 s come
    Then both wait
    When 12 more requests with an objective of 0.6 s come
    Then the last is refused, to come back after 0.05 to 1 s

  Scenario: A target that has just turned slow is found out by the age of what it runs
    Given a target with 2 slots whose requests run 0.1 s
    When 2 requests come
    And 1.5 s pass in which none of them ends
    Then a request with an objective of 0.6 s is refused

  Scenario: The more urgent request starts first
    Given a target with 1 slots whose requests run 0.1 s
    When a request runs and requests of rank 2, 1 and 2 wait
    Then the one of rank 1 starts next

  Scenario: A request that can no longer be answered in time is not started
    Given a target with 1 slots whose requests run 0.4 s
    When a request runs and one waits whose deadline is near
    Then that one is given up when the slot is free

  Scenario: A key that asks for more than its owner runs leaves its other keys their turn
    Given a target with 4 slots whose requests run 0.1 s
    When 8 requests for one key and then one of a less urgent rank for another key come
    Then the one for the other key starts next
    And requests for the hot key have every slot that nobody else wants

  # -- choice of a target ------------------------------------------------------------------

  Scenario: The faster of two idle targets is chosen
    Given targets that run a request in 0.3 s and in 0.1 s
    Then the second one gets nearly all requests

  Scenario: A crowded target is passed over
    Given two equal targets of which the first has 12 of 12 slots taken
    Then the second one gets nearly all requests

  Scenario: A target that fails is tried again only after a while
    Given two equal targets of which the first has just failed twice
    Then the second one gets nearly all requests
    And after 8 s the first one gets requests again

  Scenario: A target in the own failure domain is preferred while it costs no latency
    Given two equal targets of which the second is in another failure domain
    Then the first one gets more than half of all requests

  Scenario Outline: A long answer stays in the failure domain while it costs little latency
    Given a near target behind a link that needs <near> s for a long answer, and a far one whose link needs <far> s
    Then a request of 90 kB goes to the <which> one

    Examples:
      | near | far  | which |
      | 0.13 | 0.13 | near  |
      | 0.14 | 0.13 | near  |
      | 0.40 | 0.13 | far   |

  Scenario: Parts of a route get exactly their weights
    Given a route that goes to "a" by 70 and to "b" by 30
    When 200 requests take it
    Then "a" gets 140 of them, give or take 1

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

  Scenario: A body that was passed on is not sent again
    Given a safe request to a pooled service with 1.5 s left
    And its body is being passed on
    When an attempt ends as "not-run" because of "unreachable"
    Then the next step is "give up"

  Scenario: Three full targets are enough
    Given a safe request to a pooled service with 1.5 s left
    When three targets had no slot for it
    Then the next step is "give up"

  # -- budget --------------------------------------------------------------------------------

  Scenario: All daemons together stay within the budget of repeats
    Given a budget of 0.2 of the requests and 64 more within 10 s, for 14 daemons
    When each daemon takes 100 requests and asks for as many repeats
    Then no more than 344 repeats are given in all

  Scenario: A free target behind a full link is passed over
    Given two targets of a service, the first half as slow as the other, both behind 13 Mbit/s
    When the first has just got 600000 bytes of long answers to send
    Then a long request goes to the second, and to the first again 2 s later
    And a short request goes to the first

  Scenario: A fast link is never waited for
    Given two targets of a service, the first half as slow as the other, both behind 1000 Mbit/s
    When the first has just got 600000 bytes of long answers to send
    Then a long request goes to the first

  # -- members -------------------------------------------------------------------------------

  Scenario: A member whose entry lapsed is tried as long as it can be reached
    Given members "one" and "two" of a service
    When the entry of "one" goes
    Then both may get requests
    When "one" cannot be reached
    Then only "two" may get requests
    When the entry of "one" returns
    Then both may get requests

  Scenario: A member whose entry lapsed is known as long as the store is away
    Given members "one" and "two" of a service
    And the store does not answer
    When the entry of "one" goes
    And 60 s pass
    Then both may get requests
    When the store answers again
    And 60 s pass
    Then only "two" may get requests

  Scenario: A member whose entry lapsed is known as long as it reports
    Given members "one" and "two" of a service
    When the entry of "one" goes
    And 60 s pass and "one" reports at last
    Then both may get requests
    When 120 s pass
    Then only "two" may get requests

  Scenario: A target that its daemon calls draining gets no more requests
    Given members "one" and "two" of a service
    When the daemon of "one" says that its target takes no new work
    Then only "two" may get requests

  Scenario Outline: Changes cost a few calls, however many daemons follow them: <members> members
    Given <members> daemons and a store in which one of them changes every <every> s
    When they follow the members for 20 s
    Then all have made at most <calls> calls for changes, and missed none older than 2 s
    And each has read all members from the store at most 1 times

    Examples:
      | members | every | calls |
      | 14      | 2     | 60    |
      | 83      | 0.33  | 420   |
      | 200     | 0.33  | 660   |

  Scenario: Who follows the store is lost: the others hear of changes all the same
    Given 40 daemons and a store in which one of them changes every 0.5 s
    When they follow the members for 10 s
    And the watchers are lost and 8 s pass
    Then none of the others has missed a change older than 3 s
    And each has read all members from the store at most 1 times

  Scenario: Connections to the store go silent without a word
    Given 40 daemons and a store in which one of them changes every 0.5 s
    When they follow the members for 10 s
    And all connections to the store go silent while new ones work, and 9 s pass
    Then none of them has missed a change older than 3 s
    And each has read all members from the store at most 1 times

  # -- key maps ------------------------------------------------------------------------------

  Scenario: The first map divides the keys by capacity
    Given owners with capacities 100, 50 and 50
    Then the first map gives them 32768, 16384 and 16384 keys

  Scenario: A heavy group of neighbouring keys is split among targets with room
    Given owners with capacities 100, 100 and 100
    When 60 requests a second go to 200 neighbouring keys of the first and 20 to each other one
    Then the next map brings every owner to within 15 of the mean
    And every key that moved names its former owner and a higher fence

  Scenario: A key that is too much for its owner goes to the fastest one, which gives others away
    Given owners with capacities 30, 70 and 40
    When one key of the first is asked for 60 times a second and each owner's others 10 times
    Then the next map gives that key to the owner with 70 and at most 2 requests a second beside it

  Scenario: A key that is too much for its owner stays where nobody is much faster
    Given owners with capacities 40, 50 and 40
    When one key of the first is asked for 60 times a second and each owner's others 2 times
    Then the next map leaves that key where it is

  Scenario: A key that has become hot goes to a fast owner though another one looks hotter still
    Given owners with capacities 30, 70 and 60
    When one key of the second is asked for 120 times a second and one of the first 80 times
    Then the next map leaves the second's key where it is and gives the first's to the third

  Scenario: Load is levelled in one plan however many owners there are
    Given 43 owners with capacity 40
    When 130 requests a second go to 200 neighbouring keys of the first and 5 to each other one
    Then the next map brings every owner to within 15 of the mean

  Scenario: An owner that joins gets its share, though hardly anything is asked for
    Given owners with capacities 100, 100 and 100
    When a fourth owner joins while nothing is asked for
    Then the next map gives it between 10000 and 16384 keys

  Scenario: An owner that joins under load gets part of the load
    Given owners with capacities 100, 100 and 100
    When 60 requests a second go to each and a fourth owner joins
    Then the next map gives it between 15 and 46 requests a second

  Scenario: Small differences move nothing
    Given owners with capacities 100, 100 and 100
    When 42 requests a second go to the first and 36 to each other one
    Then there is no next map

  Scenario: A key keeps its load when it changes hands
    Given owners that report what is asked of them four times in 2 s
    When key 7 is asked for 10 times a second, first at one owner and then at another
    Then its load is 10 requests a second, give or take 4

  Scenario: A key that becomes hot is seen within two reports
    Given owners of 4 equal parts that were asked for 10 requests a second each for 6 s
    When 100 more a second ask for keys of the first part for 0.8 s
    Then the usual load was forgotten once, and the first owner's is 70 to 130 a second

  Scenario: Chance does not look like a surge
    Given owners of 4 equal parts that were asked for 10 requests a second each for 6 s
    When the same load goes on for 60 s with its usual chances
    Then the usual load was never forgotten

  Scenario: A key map travels small, and only whole
    Given a key map of 43 owners with 800 ranges
    Then it is sent in less than half of its bytes and arrives as it was
    And what is cut short, or is no key map at all, is logged and changes nothing

  Scenario: A report stays short however many keys are asked for
    When one owner counts requests for 1000 different keys
    Then its report has at most 64 rows that hold them all

  Scenario: A difference that may be chance moves nothing
    Given owners with capacities 20, 20 and 20
    When 18 requests a second go to the first and 13 to each other one
    Then there is no next map

  Scenario: The keys of a target that has ended are free at once
    Given owners with capacities 100, 100 and 100
    When the first one has ended
    Then the next map gives its keys to the others without a predecessor

  Scenario: Owners that have not been heard yet keep their keys
    Given owners with capacities 100, 100 and 100
    When only the second one has been heard
    Then there is no next map

  Scenario: A daemon that is behind on the key map does not say that keys were let go
    Given owners with capacities 100, 50 and 50
    And the second one is to take the first one's keys, which it does not hold yet
    When those keys are given to the third one, and its daemon asks for them
    Then the second one's daemon says nothing until it knows that, and then that they are free

  Scenario: A release that is told over and over is remembered once
    Given owners with capacities 100, 50 and 50
    When the daemon of the first one hears 1000 times that a predecessor let its keys go
    Then it remembers one row

  Scenario: Witnesses are spread over failure domains and never the own instance
    Given 9 instances in 3 failure domains
    Then each target gets 5 witnesses of all 3 domains, none on its own instance

  Scenario: A witness that is gone is replaced, and the former set stays until that is settled
    Given 9 instances in 3 failure domains
    When a witness of the first target is gone
    Then its newer set leaves the lost one out and the former set stands behind it
    And once the target has settled only the newer set is left

  Scenario Outline: A stored key map that is not whole is refused: <fault>
    When a key map is read whose ranges <fault>
    Then it is refused with a message that names a range

    Examples:
      | fault             |
      | leave a key out   |
      | name a key twice  |
      | end too early     |
