Feature: Listeners for callers and instances

  Scenario: Callers connect over TLS when the settings give a certificate
    Given a certificate made for this test
    When a caller asks a gateway with that certificate for its health
    Then the caller reads that the instance is ready

  Scenario: Instances exchange digests over TLS with the shared key
    Given a certificate made for this test
    When two instances with that certificate exchange digests
    Then each has the digest of the other

  Scenario: A digest of the wrong shape is refused and changes nothing
    Given a certificate made for this test
    When an instance sends a digest of the wrong shape
    Then the digest is refused and the peer has taken nothing

  Scenario: Metrics reach the receiver of the settings
    Given a receiver of metrics
    When an instance with that receiver finishes a request
    Then the received metrics match the snapshot

  # Guards against answers that are ended but not flushed and count as idle.
  Scenario: A gateway that closes lets a caller read its answer to the end
    Given a certificate made for this test
    And a caller that does not read an answer of 30000000 bytes
    When the gateway closes while the caller reads after 300 ms
    Then the caller has read 30000000 bytes

  # Guards against statuses of the HTTP server itself, read as the answer to a call that runs.
  Scenario: A request that cannot be read takes no answer from the one before it
    Given a certificate made for this test
    And a gateway whose calls take 300 ms
    When a caller sends a call and bytes that are no request over one connection
    Then the caller has read the answer of the call and nothing else

  # Guards against calls on kept connections that are closed unread after a pause of the process.
  Scenario: A call that came on a kept connection while the process was stopped is answered
    Given a certificate made for this test
    And a gateway whose calls take 0 ms
    When a caller sends a call, and a second one on its connection while the process is stopped for 7000 ms
    Then the caller has read 2 answers

  # Guards against bytes of a faulty peer that are kept until the process ends.
  Scenario: A peer's answer that has no end is not kept
    Given a certificate made for this test
    When an instance sends a digest to a peer whose answer has no end
    Then the exchange fails, and at most 32 MB were taken of the answer
