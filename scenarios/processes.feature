Feature: Several processes of a box share one port

  Scenario: Two processes answer on the same address
    Given 1 boxes and 2 engines
    When a second process "box-1-b" serves on the port of "box-1"
    And 40 calls are made on new connections to "box-1"
    Then all of them got complete answers
    And both "box-1" and "box-1-b" answered some

  Scenario: One of two processes is stopped
    Given 1 boxes and 2 engines
    When a second process "box-1-b" serves on the port of "box-1"
    And "box-1-b" is asked to stop
    Then "box-1-b" exits with status 0
    And 20 calls on new connections to "box-1" get complete answers
