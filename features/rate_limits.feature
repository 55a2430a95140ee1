@mesh
Feature: Targets that name the request rate that they can serve

  # Guards against an overloaded target that advertises its limit in its responses and still gets its usual
  # load, because no daemon applies the limit.
  Scenario: A target gets no more requests than the rate that it advertises
    Given callers of every daemon that send 80 requests a second to each service
    When a keyed target advertises a limit of 8 a second and a pooled one of 5 a second
    Then neither gets more than its limit allows

  Scenario: A limit is kept while daemons are killed and frozen
    Given callers of every daemon that send 80 requests a second to each service
    When a keyed target advertises a limit of 4 a second and a pooled one of 3 a second
    And the daemons beside them are killed or frozen in turn
    Then neither gets more than its limit allows

  Scenario: A limit ends when the target names it no longer
    Given callers of every daemon that send 80 requests a second to each service
    When a keyed target advertises a limit of 8 a second and a pooled one of 5 a second
    And they advertise no limit any more
    Then callers of both services are served more than the former limits within 2 s
    And the pooled target itself gets more than its former limit

  # Guards against requests that are sent to a target that leaves and states this only in its
  # responses, also by a daemon that was restarted meanwhile and knows nothing of it.
  Scenario: A target that states in its responses that it leaves gets no requests after the drain time
    Given callers of every daemon that send 80 requests a second to each service
    When a pooled target states that it leaves and the daemon beside it is killed
    Then it gets no request that was sent later than the drain time after a response that said so
