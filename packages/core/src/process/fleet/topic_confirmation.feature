Feature: What is known of a topic is used as current only within a bound

  Scenario: A topic that is read regularly is current
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    When 5000 ms pass for the user of the topic
    Then the topic is used as "current"
    And the events of the user are ""

  Scenario: An instance that was paused reads before it uses what it knew (DRAIN)
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    And its store answers after 20 ms
    When 1000 ms pass for the user of the topic
    And the instance is paused for 3000 ms, in which the topic changes
    Then the topic is used as "refreshed"
    And the change is known

  Scenario: A machine that was suspended without its monotonic clock reads as well (DRAIN)
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    And its store answers after 20 ms
    When 1000 ms pass for the user of the topic
    And the machine is suspended for 3000 ms, in which the topic changes
    Then the topic is used as "refreshed"
    And the change is known

  # Guards against a read on a silent connection that holds up all others.
  Scenario: A read without an answer is made up for on a new connection (DRAIN)
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    When 1000 ms pass for the user of the topic
    And open connections to its store fall silent
    And the topic changes
    And 1400 ms pass for the user of the topic
    Then the topic is used as "refreshed"
    And the change is known

  Scenario: An instance that relies on a peer reads once the peer's news is too old (DRAIN)
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    When a peer reads the topic instead, and its news ends after 1000 ms
    And the topic changes
    And 1250 ms pass for the user of the topic
    And 100 ms pass for the user of the topic
    Then the topic is used as "refreshed"
    And the change is known

  Scenario: Calls that come together share one read
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    And its store answers after 20 ms
    When 1000 ms pass for the user of the topic
    And the instance is paused for 3000 ms, in which the topic changes
    Then 100 uses at once cost at most 1 read

  Scenario: A store that is away is not waited for by each call
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    When 1000 ms pass for the user of the topic
    And its store fails for 6000 ms
    And 4000 ms pass for the user of the topic
    Then the topic is used as "unconfirmed" without a wait or a read
    And the events of the user are "827"
    When 4000 ms pass for the user of the topic
    Then the topic is used as "current"
    And the events of the user are "827, 828"

  Scenario: Failures from before a pause do not keep a call from a read (DRAIN)
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    And its store answers after 20 ms
    When 1000 ms pass for the user of the topic
    And its store fails for 2500 ms
    And 2000 ms pass for the user of the topic
    And the instance is paused for 3000 ms, in which the topic changes
    Then the topic is used as "refreshed"
    And the change is known

  Scenario: A call waits no longer than it may
    Given a topic that is read every 600 ms and used up to an age of 1300 ms
    When 1000 ms pass for the user of the topic
    And its store does not answer for 5000 ms
    And 1350 ms pass for the user of the topic
    Then a use that may wait 100 ms takes at most 110 ms

  Scenario: Whatever fails, a state that is used as current lacks no change older than the bound
    Then no history of reads, news, failures and pauses gives a state that lacks an older change
