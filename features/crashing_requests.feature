@mesh
Feature: Requests that crash the targets that run them

  Scenario: The logs tell what a target was running when it ended
    When an "unsafe" request crashes its target of the pooled service while another one runs there
    Then the daemon beside that target tells both as running when it ended

  Scenario: A request stays refused where operators move its route to another service
    Given a route "/moved/" to the pooled service
    When a request on it has crashed three targets and its route is moved to the keyed service
    And it comes twice more at every daemon
    Then no target has received it since
    And each of its callers was refused and told when to come back

  # A request came again and again, each time under a new id and often at another daemon. Every
  # daemon took it for a request like any other, and each target that began to run it ended: eight
  # of one service within 15 s, its keys were refused for as long. The line that settled it,
  # `target_crashed`, named one content at each end and no other one twice; each id had arrived
  # once, so that no daemon's own repeats were to blame.
  Scenario Outline: Once three targets have ended under a request it reaches no other one: <service>
    When a "<kind>" request to the <service> service has crashed three targets and 3 s have passed
    And it comes twice more at every daemon
    Then no target has received it since
    And each of its callers was refused and told when to come back
    And every daemon serves other requests of the <service> service

    Examples:
      | service | kind   |
      | pooled  | safe   |
      | pooled  | unsafe |
      | keyed   | safe   |
