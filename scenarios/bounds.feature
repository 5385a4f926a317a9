Feature: No engine runs far above the mean, and no workspace harms another

  Scenario: A surge of one chat is spread
    Given 3 boxes and 4 slow engines
    When 60 long streams of chat "hot" are opened over 3 s
    Then no engine runs more than 1.5 times the mean

  Scenario: A surge of one chat while an engine joins
    Given 3 boxes and 3 slow engines
    When 40 long streams of chat "hot" are opened over 2 s
    And engine "engine-4" joins
    And 40 long streams of chat "hot" are opened over 2 s
    Then no engine that was there before runs more than 1.5 times the mean of all

  Scenario: A workspace that surges does not harm another workspace
    Given a limit of 6 calls in flight for workspace "port-louis"
    And 3 boxes and 3 slow engines
    When 40 long streams of workspace "port-louis" are opened over 2 s
    And these calls are sent one by one
      | call | box   | mark | workspace |
      | a    | box-1 | a    | kusina    |
      | b    | box-2 | b    | kusina    |
      | c    | box-3 | c    | kusina    |
    Then call "a" gets a complete answer
    And call "b" gets a complete answer
    And call "c" gets a complete answer
    And at most 6 streams of the surge run
    And at least 5 streams of the surge run
    And every refused stream of the surge was "workspace_limit", ran "no"

  Scenario: A short question passes long bundles in the queue
    Given 1 boxes and 1 slow engines with 1 slots
    When these calls are sent
      | call | box   | mark | tokens |
      | full | box-1 | full | 25     |
    And an engine has started call "full"
    And these calls are sent
      | call | box   | mark | tokens | route        |
      | long | box-1 | long | 20     | bundle       |
    And 0.3 s pass
    And these calls are sent
      | call  | box   | mark  | tokens | route    |
      | short | box-1 | short | 2      | question |
    Then call "short" gets a complete answer
    And call "long" gets a complete answer
    And call "short" ran before call "long"

  Scenario: A call whose time runs out in the queue is not run
    Given 1 boxes and 1 slow engines with 1 slots
    When these calls are sent
      | call | box   | mark | tokens |
      | full | box-1 | full | 30     |
    And an engine has started call "full"
    And these calls are sent
      | call | box   | mark | timeout |
      | late | box-1 | late | 1       |
    Then call "late" is refused as "deadline_passed", ran "no"
    And the engines ran "late" 0 times

  Scenario: A queue that is full refuses at once
    Given a queue of 1 call
    And 1 boxes and 1 slow engines with 1 slots
    When these calls are sent
      | call | box   | mark | tokens |
      | full | box-1 | full | 30     |
    And an engine has started call "full"
    And these calls are sent
      | call  | box   | mark  |
      | waits | box-1 | waits |
    And 0.3 s pass
    And these calls are sent one by one
      | call  | box   | mark  |
      | third | box-1 | third |
    Then call "third" is refused as "fleet_full", ran "no"
    And the engines ran "third" 0 times
    And call "waits" gets a complete answer
