Feature: Prompts find the engines that are idle, although digests are older than prompts take

  Scenario: A prompt counts for the time that its engine needs for it
    Given engine "p1" gets a prompt of 300 ms
    And a peer gives "p1" a prompt of 200 ms
    When 100 ms pass for the backlogs
    Then "p1" is busy for 400 ms
    When 450 ms pass for the backlogs
    Then "p1" is busy for 0 ms

  Scenario: A prompt that takes longer shows that what is behind it waits
    Given engine "p1" gets a prompt of 300 ms
    And a peer gives "p1" a prompt of 200 ms
    When 450 ms pass for the backlogs
    And the prompt is computed
    Then "p1" is busy for 200 ms

  Scenario: A prompt that is done early may have overtaken others
    Given a peer gives "p1" a prompt of 400 ms
    And engine "p1" gets a prompt of 100 ms
    When 50 ms pass for the backlogs
    And the prompt is computed
    Then "p1" is busy for 450 ms

  Scenario: A prompt that its engine does not compute counts no more
    Given engine "p1" gets a prompt of 300 ms
    And a peer gives "p1" a prompt of 200 ms
    When the prompt is withdrawn
    Then "p1" is busy for 200 ms
    When engine "p1" ends for the backlogs
    Then "p1" is busy for 0 ms

  Scenario: What a peer tells is not trusted further than it can be true
    Given a peer gives "p1" a prompt of 1000000000 ms
    And a peer gives "p1" a prompt of -5 ms
    Then "p1" is busy for 10000 ms

  Scenario: A late prompt has been overtaken by those that came later
    Given engine "p1" gets a late prompt of 300 ms
    And a peer gives "p1" a prompt of 200 ms
    When 1000 ms pass for the backlogs
    And the prompt is computed
    Then "p1" is busy for 0 ms

  Scenario: A prompt that counted for less than it takes is taken back for as much
    Given engine "p1" gets a prompt of 30000 ms
    And a peer gives "p1" a prompt of 200 ms
    When the prompt is withdrawn
    Then "p1" is busy for 200 ms

  Scenario: What peers told while this instance did not get on is outdated
    When the instance with the backlogs does not get on for 2500 ms
    And a peer gives "p1" a prompt of 300 ms
    Then "p1" is busy for 0 ms
    When 100 ms pass for the backlogs
    And a peer gives "p1" a prompt of 200 ms
    Then "p1" is busy for 200 ms

  # The load: prompts that take less time than digests are old, from many instances.
  Scenario Outline: Instances that tell each other what they place spare callers nine of ten late prompts
    Given <instances> instances and 10 engines that compute prompts of 20 to 500 ms for <use> of the time
    When they place prompts for 60 s within 10 ms of what others have placed
    Then at most a tenth of those are late that are late by reports of 450 ms ago

    Examples:
      | instances | use |
      | 9         | 0.5 |
      | 20        | 0.5 |
      | 39        | 0.5 |
      | 20        | 0.7 |
