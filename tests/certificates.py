"""Certificate authorities and certificates for tests."""

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

DAY = datetime.timedelta(days=1)


class Authority:
    """A certificate authority that writes its files into a folder.

    :ivar ca_path: path of the authority's own certificate
    """

    def __init__(self, folder: Path, name: str):
        """Create the authority with a new key.

        :param folder: folder for all files
        :param name: name of the authority and prefix of the file names
        """
        self.folder = folder
        self.name = name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self._sign(name, self.key.public_key(), DAY, is_authority=True)
        self.ca_path = folder / f"{name}.pem"
        self.ca_path.write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, vm: str, valid_for: datetime.timedelta = DAY) -> dict[str, str]:
        """Issue a new certificate and return the TLS settings of its entry VM.

        :param vm: name of the entry VM
        :param valid_for: validity from now on; negative for an expired certificate
        :return: paths for ``tls_cert``, ``tls_key`` and ``tls_ca``
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(vm, key.public_key(), valid_for, is_authority=False)
        cert_path = self.folder / f"{self.name}-{vm}.pem"
        key_path = self.folder / f"{self.name}-{vm}.key"
        cert_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            "tls_cert": str(cert_path),
            "tls_key": str(key_path),
            "tls_ca": str(self.ca_path),
        }

    def _sign(self, name, public_key, valid_for, is_authority):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(make_name(name))
            .issuer_name(make_name(self.name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 2 * DAY)
            .not_valid_after(now + valid_for)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        return builder.sign(self.key, hashes.SHA256())


def make_name(name: str) -> x509.Name:
    """Return an X.509 name with a common name only."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
