Feature: The list of endpoints counts as fresh only for as long as its news is

  Scenario: A delayed digest does not hide that an endpoint is leaving (DRAIN)
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When the digests of "a1" take 500 ms longer each second, up to 2500 ms
    And 8000 ms pass for the instance
    And "engine-1" is leaving
    And 3000 ms pass for the instance
    Then the instance sends "engine-1" no new work

  Scenario: Digests without delay spare an instance its own reads
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When 10000 ms pass for the instance
    Then the instance has not read the list for 4000 ms

  Scenario: A change of the list comes with the digest that tells of it
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When 6000 ms pass for the instance
    And "a1" sends its changes with its digests and hands over no state
    And "engine-1" is leaving
    And 1100 ms pass for the instance
    Then the instance sends "engine-1" no new work
    And the instance has not read the list for 4000 ms

  Scenario: An instance that misses earlier changes fetches the whole list
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When the digests of "a1" are lost
    And "engine-2" is leaving
    And 1100 ms pass for the instance
    And "a1" sends only its newest change with its digests
    And "engine-1" is leaving
    And 1100 ms pass for the instance
    Then the instance sends "engine-1" no new work
    And the instance lists "engine-1, engine-2"

  Scenario: An instance that cannot fetch a change from its peers reads the store (DRAIN)
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When 6000 ms pass for the instance
    And "a1" hands over no state
    And "engine-1" is leaving
    And 1300 ms pass for the instance
    Then the instance sends "engine-1" no new work

  Scenario: A change that another failure domain tells of is awaited from the own one's reader
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When 6000 ms pass for the instance
    And "engine-1" is leaving
    And another failure domain tells of it
    Then the instance has fetched 0 states from there
    When 1100 ms pass for the instance
    Then the instance sends "engine-1" no new work

  Scenario: Without news of the own reader, the list comes from another failure domain
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When 6000 ms pass for the instance
    And the instance cannot read the store and the digests of "a1" are lost
    And 1400 ms pass for the instance
    And "engine-1" is leaving
    And another failure domain tells of it
    And 10 ms pass for the instance
    Then the instance has fetched 1 states from there
    And the instance sends "engine-1" no new work

  Scenario: A digest that states no era does not make the store look restored
    Given a store of the era 3 that answers after 500 ms
    And an instance that relies on the reads of "a1" and lists "engine-1"
    When 2000 ms pass for the instance
    Then the store has counted as restored 0 times
    When the digests of "a1" state the era 4
    And 2000 ms pass for the instance
    Then the store has counted as restored 1 times

  Scenario: What an instance fetched from a peer is not missing in the changes that it passes on (DRAIN)
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When the digests of "a1" are lost
    And 6000 ms pass for the instance
    And "engine-2" is leaving
    And 1000 ms pass for the instance
    And the instance cannot read the store and the digests of "a1" are lost
    And 1400 ms pass for the instance
    And "engine-1" is leaving
    And another failure domain tells of it
    And 10 ms pass for the instance
    Then the instance has fetched 1 states from there
    When the instance can read the store again
    And 1000 ms pass for the instance
    Then no change is missing in what the instance has passed on

  Scenario: An instance that stands still while it takes in a digest does not take its list for fresh (DRAIN)
    Given an instance that relies on the reads of "a1" and lists "engine-1"
    When 6000 ms pass for the instance
    And the instance stands still for 2400 ms while it takes in a digest
    Then the list of the instance is at least 2400 ms old
