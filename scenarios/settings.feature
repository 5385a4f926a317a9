Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change reaches all boxes, and few of them watch
    Given 5 boxes and 1 engines
    When an operator sets "fleet.policy.deadline" to "33"
    Then the change is in force on every box within 6 s
    And at most 3 boxes watch the settings

  Scenario: Two operators edit the same object at once
    Given 2 boxes and 1 engines
    And the platform holds writes until 2 have arrived
    When two operators set "fleet.policy.deadline" at once to "31" and "32"
    Then one of them wins and the other sees a conflict
    And the winner's value is in force on every box

  Scenario: An edit whose answer is lost
    Given 2 boxes and 1 engines
    And the platform loses the answers of 1 writes
    When an operator sets "fleet.policy.deadline" to "33"
    Then the change is in force on every box within 6 s
    And object "fleet" is at revision 2 on every box

  Scenario: A box starts while the platform is down
    Given 2 boxes and 1 engines
    When the platform is down
    And "box-1" is killed
    And "box-1" is started again with "box-2" as its seed
    And these calls are sent one by one
      | call | box   | mark |
      | a    | box-1 | a    |
    Then call "a" gets a complete answer
    And object "fleet" is at revision 1 on every box

  Scenario: A box is frozen while the settings move on
    Given 3 boxes and 1 engines
    When "box-2" freezes
    And an operator sets "fleet.policy.deadline" to "33"
    And an operator sets "fleet.policy.deadline" to "34"
    And 1 s pass
    And "box-2" resumes
    Then the change is in force on every box within 6 s
    And object "fleet" is at revision 3 on every box

  Scenario: An invalid object is written bypassing the checks
    Given 2 boxes and 1 engines
    When someone writes an invalid "fleet" object into the platform
    And 1.5 s pass
    And these calls are sent one by one
      | call | box   | mark |
      | a    | box-1 | a    |
    Then call "a" gets a complete answer
    And object "fleet" is at revision 1 on every box
    And a box reports why "fleet" was rejected

  Scenario: The platform goes back to an older snapshot
    Given 3 boxes and 1 engines
    When the platform saves a snapshot
    And an operator sets "fleet.policy.deadline" to "33"
    And the change is in force on every box within 6 s
    And the platform is reset to its snapshot
    Then object "fleet" never falls below revision 2 on any box for 3 s
    And the platform holds revision 2 of "fleet" again within 10 s
    And an operator sets "fleet.policy.deadline" to "35"
    And the change is in force on every box within 6 s

  Scenario: An operator edits the older snapshot before it is repaired
    Given 3 boxes and 1 engines
    When the platform saves a snapshot
    And an operator sets "fleet.policy.deadline" to "33"
    And the change is in force on every box within 6 s
    And an operator sets "fleet.policy.deadline" to "34"
    And the change is in force on every box within 6 s
    And the platform is reset to its snapshot and an operator sets "fleet.policy.deadline" to "44" at once
    Then the value "44" of "fleet.policy.deadline" is in force on every box within 10 s
