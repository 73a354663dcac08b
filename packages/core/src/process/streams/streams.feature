Feature: Any instance knows which software version began a stream

  Scenario Outline: A stream is known at every instance after its first one has ended
    Given <instances> instances, and a service with the versions "v1, v2"
    When <streams> streams begin at the versions in turn, at the instances in turn
    And digests are exchanged, of which 0.3 are lost
    And the first <ended> instances end
    Then the others take all streams up at the versions that began them

    Examples:
      | instances | streams | ended |
      | 3         | 90      | 2     |
      | 9         | 300     | 4     |
      | 81        | 900     | 40    |

  Scenario: Streams that began before a second version came are told when it comes
    Given 3 instances, and a service with the versions "v1"
    When 30 streams begin at the versions in turn, at the instances in turn
    Then no digest reports a stream
    When the service has the versions "v1, v2"
    And digests are exchanged, of which 0.0 are lost
    And the first 1 instances end
    Then the others take all streams up at the versions that began them

  Scenario: An instance that started just now asks the others
    Given 3 instances, and a service with the versions "v1, v2"
    When 30 streams begin at the versions in turn, at the instances in turn
    And digests are exchanged, of which 0.0 are lost
    And all but the last instance start again
    Then the first instance takes all streams up at the versions that began them

  Scenario Outline: A stream that nobody knows goes on only at a version that must have begun it
    Given 3 instances, and a service with the versions "<before>"
    And a stream that no instance knows
    When <ms> ms pass for the streams
    And the service has the versions "<now>"
    And the list of endpoints is <age> ms old
    Then the stream <ends>

    Examples:
      | before | ms    | now    | age  | ends           |
      | v1     | 0     | v1     | 500  | goes on at v1  |
      | v1, v2 | 0     | v1, v2 | 500  | must not go on |
      | v1, v2 | 5000  | v2     | 500  | must not go on |
      | v1, v2 | 61000 | v2     | 500  | goes on at v2  |
      | v1     | 0     | v1     | 5000 | must not go on |

  Scenario Outline: The stored record tells a new instance of versions that have left
    Given 3 instances, and a service with the versions "v2"
    And a stream that no instance knows
    When the stored record has the versions "<stored>"
    Then the stream <ends>

    Examples:
      | stored | ends           |
      | v2     | goes on at v2  |
      | v1, v2 | must not go on |
      | v1     | must not go on |

  Scenario: Without the record a stream goes on only after an instance has watched the versions
    Given 3 instances, and a service with the versions "v2"
    And a stream that no instance knows
    When the stored record cannot be read
    Then the stream must not go on
    When 61000 ms pass for the streams
    Then the stream goes on at v2

  Scenario: What an instance remembers of streams is bounded and ends
    Given 3 instances, and a service with the versions "v1, v2"
    When 70000 streams begin at the first instance
    Then each instance knows at most 65536 streams
    And a digest reports at most 32 streams
    When 61000 ms pass for the streams
    And 1 streams begin at the first instance
    Then each instance knows at most 1 streams

  # Guards against an instance that is out of step and lacks a version that joined meanwhile.
  Scenario Outline: A version that the instance has not read yet may have begun a stream that nobody knows
    Given 3 instances, and a service with the versions "v1"
    And a stream that no instance knows
    When an endpoint of the version "<listed>" is listed that no instance has read yet
    Then the stream <ends>

    Examples:
      | listed | ends           |
      | v1     | goes on at v1  |
      | v2     | must not go on |

  Scenario: While the store cannot be read, a stream that nobody knows must not go on
    Given 3 instances, and a service with the versions "v1"
    And a stream that no instance knows
    When the store cannot be read for the streams
    Then the stream must not go on
