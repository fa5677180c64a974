"""Finds which process has opened a connection, as nodes share an address."""

import os
import socket
import struct

__all__ = ('find_inode', 'find_owner')

_SOCK_DIAG = 4
_DIAG_BY_FAMILY = 20
_HEAD = struct.Struct('=IHHII')
_ANY_STATE = 0xFFFFFFFF
_INODE_OFFSET = _HEAD.size + 68
_LENGTH = _HEAD.size + 56


def find_inode(near: tuple[str, int], far: tuple[str, int]) -> int:
    """Return the inode of a loopback socket; 0 if it can't be found."""
    socket_id = (
        struct.pack('!HH', near[1], far[1])
        + socket.inet_aton(near[0])
        + bytes(12)
        + socket.inet_aton(far[0])
        + bytes(12)
        + struct.pack('=III', 0, _ANY_STATE, _ANY_STATE)
    )
    asked = struct.pack(
        '=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ANY_STATE
    )
    head = _HEAD.pack(_LENGTH, _DIAG_BY_FAMILY, 1, 0, 0)
    try:
        with socket.socket(
            socket.AF_NETLINK, socket.SOCK_DGRAM, _SOCK_DIAG
        ) as kernel:
            kernel.settimeout(0.1)
            kernel.send(head + asked + socket_id)
            response = kernel.recv(4096)
    except OSError:
        return 0
    if _HEAD.unpack_from(response)[1] != _DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from('=I', response, _INODE_OFFSET)[0]


def find_owner(inode: int, pids: dict[str, int]) -> str:
    """Return the name of the process that holds a socket; empty if none."""
    wanted = f'socket:[{inode}]'
    for name, pid in pids.items():
        try:
            numbers = os.listdir(f'/proc/{pid}/fd')
        except OSError:
            continue
        links = (f'/proc/{pid}/fd/{number}' for number in numbers)
        if any(_read_link(link) == wanted for link in links):
            return name
    return ''


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ''
