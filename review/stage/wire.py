"""Packets of the platform, and the keyed sum that shows whether one was changed on its way."""
import socket
import struct
import zlib

RST, SYN, ACK, FIN, BOUNCED = 1, 8, 16, 32, 128
HEAD = struct.Struct("<4s4sHHIHIIBBI")  # src dst dport sport echo len seq ack flags pad sum
SUM_KEY = b"the key of the stand-in"


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, pad=0, sum_=0):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad, self.sum = echo, pad, sum_

    def expected_sum(self):
        body = struct.pack("<4s4sHHHIIB", _ip(self.src), _ip(self.dst), self.dport, self.sport,
                           len(self.data), self.seq, self.ack, self.flags & ~BOUNCED)
        return zlib.crc32(SUM_KEY + body + self.data) | 1  # never the zero of a system's reset

    def signed(self):
        self.sum = self.expected_sum()
        return self

    def intact(self):
        return self.sum == self.expected_sum()

    def bytes(self):
        return HEAD.pack(_ip(self.src), _ip(self.dst), self.dport, self.sport, self.echo,
                         len(self.data), self.seq, self.ack, self.flags, self.pad, self.sum) + self.data

    def has(self, flag):
        return bool(self.flags & flag)


def _ip(text):
    return socket.inet_aton(text)[::-1]


def parse(raw):
    if len(raw) < HEAD.size:
        return None
    src, dst, dport, sport, echo, length, seq, ack, flags, pad, sum_ = HEAD.unpack_from(raw)
    data = raw[HEAD.size:]
    if length != len(data):
        return None
    return Packet(socket.inet_ntoa(src[::-1]), sport, socket.inet_ntoa(dst[::-1]), dport, flags, seq,
                  ack, data, echo, pad, sum_)
