Feature: The listener for callers answers each request once and stops in order

  Background:
    Given a listener for callers

  Scenario: A request is read in full and answered
    When a caller sends a request with 5000 bytes
    Then the caller gets status 200 and the body "5000"

  Scenario: A request that is too large is refused and not forwarded
    When the configuration allows 1000 bytes
    And a caller sends a request with 5000 bytes
    Then the caller gets status 413 and the body ""
    And 0 requests were forwarded

  Scenario: A caller that leaves is noticed
    When a caller leaves while its request runs
    Then the request is told that its caller has left

  Scenario: A stream that is cut cannot look complete
    When a caller sends a request whose answer is cut after "part"
    Then the caller sees its answer break off

  Scenario: An answer without framing that is cut is reset
    When a caller sends a request whose unframed answer is cut after "part"
    Then the caller sees its answer break off

  Scenario Outline: An answer whose handler fails cannot look complete
    When a caller sends a request whose <kind> answer fails after "part"
    Then the caller sees its answer break off

    Examples:
      | kind     |
      | framed   |
      | unframed |

  Scenario: An answer without framing ends with the connection
    When a caller sends a request whose unframed answer is "part"
    Then the caller gets status 200 and the body "part"

  Scenario: While it is leaving, answers end their connections
    When the listener is leaving
    And a caller sends a request with 10 bytes
    Then the caller gets status 200 and the body "10"
    And the caller is told to close its connection

  Scenario: Once it takes nothing more, kept connections are closed and requests in flight end
    Given a caller with a kept connection
    And a caller whose request takes 300 ms
    When the listener takes nothing more
    Then the kept connection is closed
    And the request that takes long is answered with 200
    And new connections are refused

  # Guards against answers that are ended but not flushed and count as idle (LOST).
  Scenario: Once it takes nothing more, an answer that its caller has not read yet goes on to its end
    Given a caller that does not read its answer of 12000000 bytes
    When the listener takes nothing more
    And the caller reads its answer
    Then the caller has all of the 12000000 bytes

  Scenario: Two requests smuggled as one are refused
    When a caller sends a request with two kinds of framing
    Then the caller gets status 400 and the body ""
    And 0 requests were forwarded

  # Guards against statuses of the HTTP server itself, read as the answer to a call that runs (REFUSED).
  Scenario Outline: A request that cannot be read takes no answer from the one before it
    When a caller sends a request that takes 1000 ms, and then <rest>
    Then the caller gets status 200 and nothing else

    Examples:
      | rest                         |
      | the beginning of another one |
      | bytes that are no request    |

  Scenario: A head that is not complete in time is refused
    When a caller sends the beginning of a request
    Then the caller gets status 408 and the body ""
    And 0 requests were forwarded

  # Guards against a request that is run after its connection was answered with 408 (REFUSED).
  Scenario: A head whose rest came while the process was stopped is refused or forwarded, not both
    When a caller sends the beginning of a request, and its rest while the process is stopped for 600 ms
    Then the caller gets status 408 and the body ""
    And 0 requests were forwarded

  # Guards against requests on kept connections that are closed unread after a pause of the process (LOST).
  Scenario: A request that came on a kept connection while the process was stopped is answered
    Given callers may leave connections idle for 100 ms
    And a caller with a kept connection
    When the caller sends a request while the process is stopped for 2500 ms
    Then the caller's request on the kept connection is answered
    And 2 requests were forwarded

  Scenario: A beginning of a request that came on a kept connection while the process was stopped is read
    Given callers may leave connections idle for 100 ms
    And a caller with a kept connection
    When the caller sends the beginning of a request while the process is stopped for 2500 ms
    And the caller sends the rest
    Then the caller's request on the kept connection is answered
    And 2 requests were forwarded

  Scenario: A connection that is idle for too long is closed
    Given callers may leave connections idle for 100 ms
    And a caller with a kept connection
    Then the kept connection is closed within 3000 ms
    And 1 requests were forwarded
