"""Settings of the daemon, from flags and environment variables."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Settings:
    """Settings of one entry VM.

    :ivar vm: name of the VM
    :ivar domain: failure domain it stands in
    :ivar region: region of the failure domain
    :ivar caller_address: IP number and port of the callers' listener
    :ivar peer_address: IP number and port of the peers' listener
    :ivar operator_address: IP number and port of the operators' listener
    :ivar platform_address: IP number and port of the platform's configuration service
    :ivar link_key: shared key of the peer links, in hexadecimal, where TLS is off
    :ivar tls_cert: path of the certificate for the peer links, empty where TLS is off
    :ivar tls_key: path of the certificate's key
    :ivar tls_ca: path of the authority's certificates
    :ivar plain_links: whether peer links without TLS are allowed
    :ivar grace_s: longest time that a leaving VM waits for its requests, in seconds
    :ivar max_requests: most requests held at a time
    :ivar max_body_bytes: largest body of a request, in bytes
    """

    vm: str
    domain: str
    region: str
    caller_address: str = "127.0.0.1:8080"
    peer_address: str = "127.0.0.1:8081"
    operator_address: str = "127.0.0.1:8082"
    platform_address: str = "127.0.0.1:8500"
    link_key: str = ""
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    plain_links: bool = False
    grace_s: float = 30.0
    max_requests: int = 2000
    max_body_bytes: int = 1_000_000


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    :param address: such as ``127.0.0.1:8080``
    :return: IP number and port
    :raises ValueError: if it has no port
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
