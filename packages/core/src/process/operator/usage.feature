Feature: Usage is reported once for each window, and the same by whoever sends it

  Scenario: A window is fixed once all instances have told their counts, then sent
    Given 3 instances that report windows of 5000 ms to an operator
    When calls begin and 30 s pass
    Then every window is reported within 3000 ms of its end, and each count is true

  Scenario: What a killed instance had told is reported, and its successor goes on
    Given 3 instances that report windows of 5000 ms to an operator
    When calls begin and 12 s pass
    And the instance that reports is killed
    And calls begin and 25 s pass
    Then every window is reported within 10000 ms of its end, and at most 1 in 20 calls is missing

  Scenario: While the store is down nothing is fixed; afterwards the windows are late and true
    Given 3 instances that report windows of 5000 ms to an operator
    When calls begin and 11 s pass
    And the store of the reports is down for 9 s while calls begin
    And calls begin and 10 s pass
    Then every window is reported within 16000 ms of its end, and each count is true

  Scenario: An operator that answers nothing gets the same reports again under the same number
    Given 3 instances that report windows of 5000 ms to an operator
    When the operator answers nothing for 8 s while calls begin
    And calls begin and 20 s pass
    Then every window is reported within 16000 ms of its end, and each count is true
    And the operator saw one number

  Scenario: After a refusal for a higher number nothing is sent under the old one
    Given 3 instances that report windows of 5000 ms to an operator
    When calls begin and 7 s pass
    And the operator refuses the number of the next report
    And calls begin and 20 s pass
    Then no report came under the refused number after it

  Scenario: The time of day is agreed, so that a clock that is off by minutes counts where the others do
    Given the dates of 5 instances, one of them 300 s ahead and one 70 ms behind
    Then each instance's agreed time is within 80 ms of the true time
    When the date of one more is set back by an hour
    Then each instance's agreed time is within 80 ms of the true time

  Scenario: Calls without an answer count for a minute, and refusals do not count
    Given an operator that 3 calls got no answer of, and that refused 5 before
    Then 3 calls without an answer are counted
    When a minute passes
    Then 0 calls without an answer are counted

  Scenario: An instance that hears no other one any more keeps the agreed time for a while
    Given an instance whose date is 6000 ms ahead of that of 4 others
    When it hears them, and 20 s pass without news
    Then its agreed time is off by at most 100 ms
    When 60 s pass without news
    Then its agreed time is off by at least 5900 ms

  Scenario: An instance of the same name at another address does not use the number of the former one
    Given 3 instances that report windows of 5000 ms to an operator
    When calls begin and 12 s pass
    And the instance that reports is replaced by one of its name at another address
    And calls begin and 25 s pass
    Then no promise to the operator is broken, and both have reported

  Scenario: A store that comes back from an older copy lets no window be reported anew
    Given 3 instances that report windows of 5000 ms to an operator
    When calls begin and 12 s pass
    And the store of the reports comes back from a copy of its first 1 records
    And calls begin and 30 s pass
    Then no promise to the operator is broken, and both have reported

  Scenario: No order of claims, losses, pauses and restarts breaks a promise to the operator
    Then over random orders no window has two reports, no number goes down, no two holders share one, and holders take no turns within a lease

  Scenario: No more calls are made in a second than half of what the operator takes
    Given an operator that takes 10 calls a second
    When 40 calls are tried in each second for 5 s
    Then it got at most 5 in any second, and the others count as limited
