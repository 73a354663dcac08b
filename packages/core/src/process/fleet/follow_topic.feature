Feature: A topic is followed through expiry, outages and silent connections

  Scenario: Records are handed on in order, once each
    Given a topic with the records "a, b" that is followed every 100 ms
    When 50 ms pass for the topic
    Then the records handed on are "a, b"
    When the records "c, d" are appended
    And 500 ms pass for the topic
    Then the records handed on are "a, b, c, d"

  Scenario: After its records have expired the newest of each key are read
    Given a topic with the records "a, b" that is followed every 100 ms
    When 50 ms pass for the topic
    And the records "c" are appended
    And the records of the topic expire
    And 2000 ms pass for the topic
    Then the records handed on are "a, b, a, b, c"

  Scenario: An outage is noticed and told once, and reading goes on after it
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And the store of the topic fails for 3000 ms
    And the records "b" are appended
    And 4000 ms pass for the topic
    Then the events of the topic are "800, 801"
    And the records handed on are "a, b"
    And the topic has been steady for less than 2000 ms

  Scenario: A read without an answer ends in time
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And the store of the topic stays silent for 1500 ms
    And the records "b" are appended
    And 3000 ms pass for the topic
    Then the records handed on are "a, b"

  Scenario: A held read on a silent connection is interrupted
    Given a topic with the records "a" whose reads are held for 10000 ms
    When 50 ms pass for the topic
    And the store of the topic stays silent for 1500 ms
    And the records "b" are appended
    And 1600 ms pass for the topic
    And the held read is interrupted
    And 200 ms pass for the topic
    Then the records handed on are "a, b"

  Scenario: Records that another instance has handed on are not read again
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And the records "b, c" are appended
    And another instance has read up to offset 2
    And 500 ms pass for the topic
    Then the records handed on are "a, c"

  Scenario: Reads that are not needed are not made
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And reads of the topic are not needed
    And the records "b" are appended
    And 2000 ms pass for the topic
    Then the records handed on are "a"
    And what is known of the topic is between 1900 and 2100 ms old
    When another instance has read up to offset 1, 300 ms ago
    Then what is known of the topic is between 300 and 310 ms old
    When reads of the topic are needed
    And 200 ms pass for the topic
    Then the records handed on are "a, b"

  Scenario: What another instance knew before makes nothing newer
    Given a topic with the records "a, b" that is followed every 1000 ms
    When 900 ms pass for the topic
    And another instance has read up to offset 1, 10 ms ago
    Then what is known of the topic is between 880 and 900 ms old

  Scenario: The time since an outage runs from the first news, whoever read it
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And the store of the topic fails for 4000 ms
    And 3000 ms pass for the topic
    And another instance has read up to offset 1, 10 ms ago
    And 1000 ms pass for the topic
    And another instance has read up to offset 1, 10 ms ago
    And 1000 ms pass for the topic
    Then the topic has been steady for 2000 ms

  Scenario: A failed read that others make good is no outage
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And the store of the topic fails for 2000 ms
    And 1000 ms pass for the topic
    And another instance has read up to offset 1, 10 ms ago
    And 1000 ms pass for the topic
    And another instance has read up to offset 1, 10 ms ago
    And 1000 ms pass for the topic
    Then the topic has been steady for Infinity ms

  Scenario: News that is late is no outage of the store (DRAIN)
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And reads of the topic are not needed
    And 3000 ms pass for the topic
    And reads of the topic are needed
    And 200 ms pass for the topic
    Then the topic has been steady for Infinity ms

  # Guards against records of a list's later pages that are undone by older ones of the same key.
  Scenario: What was read ahead of a list's first page is not handed on again
    Given a topic with the records "a, b, a" that is followed every 100 ms
    And the newest records are listed with the end 1
    When 250 ms pass for the topic
    And the records "b" are appended
    And 250 ms pass for the topic
    Then the records handed on are "a, b, a, b"

  # Guards against changes that are lost with a list that another instance's news has overtaken.
  Scenario: What a list that was overtaken has read ahead is handed on again
    Given a topic with the records "a" that is followed every 100 ms
    When 50 ms pass for the topic
    And the records "b" are appended
    And the records of the topic expire
    And the records "a, b" are appended
    And the newest records are listed with the end 2
    And a list of the newest records takes 200 ms
    And 150 ms pass for the topic
    And another instance has read up to offset 3
    And 400 ms pass for the topic
    Then the records handed on are "a, a, b, a, b, b"

  # Guards against a read that waits for a held one, whose records have expired meanwhile.
  Scenario: A state that is asked for is read anew beside a held read once records have expired
    Given a topic with the records "a" whose reads are held for 10000 ms
    When 50 ms pass for the topic
    And the store of the topic stays silent for 500 ms
    And 600 ms pass for the topic
    And the records "b" are appended
    And the records of the topic expire
    Then a state of the topic at most 100 ms old is known within 700 ms
    And the records handed on are "a, a, b"
