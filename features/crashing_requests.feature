@mesh
Feature: Requests that crash the targets that run them

  Scenario: The logs tell what a target was running when it ended
    When a "safe" request crashes its target of the pooled service while another one runs there
    Then the daemon beside that target tells both as running when it ended
