Feature: A record in the store tells which software versions have served lately

  Scenario: Instances that start together write each version a few times
    Given 20 instances that keep a record of the versions "v1"
    When 2000 ms pass for the record
    Then the record has the versions "v1"
    And each version was written at most 3 times

  Scenario: A new version is written, and a version that left stays for the retention
    Given 3 instances that keep a record of the versions "v1"
    When 2000 ms pass for the record
    And the versions "v1, v2" are listed
    And 1000 ms pass for the record
    Then the record has the versions "v1, v2"
    When the versions "v2" are listed
    And 59000 ms pass for the record
    Then the record has the versions "v1, v2"
    And all instances know the versions "v1, v2"
    When 3000 ms pass for the record
    Then the record has the versions "v2"
    And all instances know the versions "v2"

  Scenario: An instance that starts later knows the version that left
    Given 3 instances that keep a record of the versions "v1"
    When 2000 ms pass for the record
    And the versions "v2" are listed
    And 2000 ms pass for the record
    And all instances start again
    And 50 ms pass for the record
    Then all instances know the versions "v1, v2"

  Scenario: Instances that start again and again remove nothing early
    Given 3 instances that keep a record of the versions "v1"
    When 2000 ms pass for the record
    And the versions "v2" are listed
    And 40000 ms pass for the record
    And all instances start again
    And 40000 ms pass for the record
    Then the record has the versions "v1, v2"

  Scenario: A version that is listed again is not removed by an instance whose list is behind
    Given 2 instances that keep a record of the versions "v1, v2"
    When 2000 ms pass for the record
    And the versions "v2" are listed
    And 59500 ms pass for the record
    And the versions "v1, v2" are listed at the first instance only
    And 5000 ms pass for the record
    Then the record has the versions "v1, v2"

  Scenario: Nothing is removed while the list is old
    Given 2 instances that keep a record of the versions "v1, v2"
    When 2000 ms pass for the record
    And the versions "v2" are listed
    And the list of the record is 5000 ms old
    And 70000 ms pass for the record
    Then the record has the versions "v1, v2"

  Scenario: A store that cannot be reached is tried again
    Given 2 instances that keep a record of the versions "v1"
    And the store of the record is away
    When 5000 ms pass for the record
    Then no instance knows a version
    When the store of the record is back
    And 5000 ms pass for the record
    Then the record has the versions "v1"
    And all instances know the versions "v1"

  Scenario: A store that comes back from an older copy gets the versions again
    Given 2 instances that keep a record of the versions "v1"
    When 2000 ms pass for the record
    And the store of the record comes back empty
    And 3000 ms pass for the record
    Then the record has the versions "v1"

  Scenario: Instances that need not write leave it to the others
    Given 5 instances that keep a record of the versions "v1"
    And only the first instance writes
    When 2000 ms pass for the record
    Then the record has the versions "v1"
    And each version was written at most 1 times

  # Guards against a version that leaves, and is unknown after a restart, before an instance that has just started writes.
  Scenario: A version that leaves before an instance writes is written
    Given 3 instances that keep a record of the versions "v1, v2"
    When 30 ms pass for the record
    And the versions "v2" are listed
    And 2000 ms pass for the record
    And all instances start again
    And 50 ms pass for the record
    Then all instances know the versions "v1, v2"

  Scenario: A version is written at once when a stream begins at it
    Given 3 instances that keep a record of the versions "v1"
    When 20 ms pass for the record
    And streams begin at the version "v1" at the first instance
    And 70 ms pass for the record
    Then the record has the versions "v1"
    When the versions "v1, v2" are listed
    And streams begin at the version "v2" at the first instance
    And 70 ms pass for the record
    And the versions "v1" are listed
    And all instances start again
    And 50 ms pass for the record
    Then all instances know the versions "v1, v2"

  Scenario: Instances at which streams begin together write a version a few times
    Given 20 instances that keep a record of the versions "v1"
    And only the first instance writes
    When 2000 ms pass for the record
    And the versions "v1, v2" are listed
    And streams begin at the version "v2" at all instances
    And 100 ms pass for the record
    Then the record has the versions "v1, v2"
    And each version was written at most 5 times

  Scenario: A version that left is written again if the store comes back from an older copy
    Given 2 instances that keep a record of the versions "v1, v2"
    When 2000 ms pass for the record
    And the versions "v2" are listed
    And 2000 ms pass for the record
    And the store of the record comes back empty
    And 3000 ms pass for the record
    Then the record has the versions "v1, v2"
    When 57000 ms pass for the record
    Then the record has the versions "v2"

  Scenario: A version that is removed by one instance is not written again by another
    Given 3 instances that keep a record of the versions "v1, v2"
    When 300 ms pass for the record
    And the versions "v2" are listed
    And 63000 ms pass for the record
    Then the record has the versions "v2"
    And each version was written at most 3 times
