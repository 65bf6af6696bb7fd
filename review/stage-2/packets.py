"""Packets of the platform, as PROTOCOL.md lays them out."""
import socket
import struct
import zlib

SYN, ACK, FIN, RST, BOUNCED = 8, 16, 32, 1, 128
HEAD = struct.Struct("<IIHHIHIIBBI")
KEY = b"stand-in key"


def ip_number(text):
    return struct.unpack("!I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """One packet; src and dst are (address text, port)."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b""):
        self.src, self.dst, self.flags = src, dst, flags
        self.seq, self.ack, self.data = seq, ack, data
        self.echo = self.pad = self.sum = 0

    def encode(self):
        """Returns the bytes, with the keyed sum of the sender."""
        bare = HEAD.pack(ip_number(self.src[0]), ip_number(self.dst[0]),
                         self.dst[1], self.src[1], 0, len(self.data), self.seq,
                         self.ack, self.flags & ~BOUNCED, 0, 0)
        self.sum = zlib.crc32(KEY + bare + self.data)
        return HEAD.pack(ip_number(self.src[0]), ip_number(self.dst[0]),
                         self.dst[1], self.src[1], 0, len(self.data), self.seq,
                         self.ack, self.flags, 0, self.sum) + self.data


def decode(raw):
    """Returns the packet, or None if it is malformed."""
    if len(raw) < HEAD.size:
        return None
    (src, dst, dport, sport, echo, length, seq, ack, flags, pad,
     total) = HEAD.unpack_from(raw)
    if length != len(raw) - HEAD.size:
        return None
    packet = Packet((ip_text(src), sport), (ip_text(dst), dport), flags, seq,
                    ack, raw[HEAD.size:])
    packet.echo, packet.pad, packet.sum = echo, pad, total
    return packet


def is_intact(raw):
    """Returns whether the sum is that of the packet's writer."""
    packet = decode(raw)
    fresh = Packet(packet.src, packet.dst, packet.flags & ~BOUNCED, packet.seq,
                   packet.ack, packet.data)
    fresh.encode()
    return fresh.sum == packet.sum


def bounced(raw):
    """Returns the datagram as an endpoint returns it: echo is unchanged."""
    back = bytearray(raw)
    back[26] |= BOUNCED
    back[27] = 0
    return bytes(back)
