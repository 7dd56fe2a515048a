"""Generates the Python code of the .proto files with grpcio-tools.

Run it from the root of the repository after a change of a .proto file. The
generated files are committed.
"""

import pathlib
import sys
from typing import Final

from grpc_tools import protoc  # type: ignore[import-untyped]

_ROOT: Final = pathlib.Path('src')
_EXEMPTION: Final = '# mypy: ignore-errors\n'
_PROTOS: Final = _ROOT / 'currantshore' / 'internal' / 'process' / 'protos'


def main() -> int:
    """Generate the message and service modules; return protoc's status."""
    plugin = pathlib.Path(sys.executable).parent / 'protoc-gen-grpclib_python'
    status: int = protoc.main(
        [
            'protoc',
            f'--plugin=protoc-gen-grpclib_python={plugin}',
            f'--proto_path={_ROOT}',
            f'--python_out={_ROOT}',
            f'--pyi_out={_ROOT}',
            f'--grpclib_python_out={_ROOT}',
            *(str(path) for path in sorted(_PROTOS.glob('*.proto'))),
        ],
    )
    for stub in _PROTOS.glob('*.py*'):
        if stub.name != '__init__.py':
            _exempt(stub)
    return status


def _exempt(path: pathlib.Path) -> None:
    # protobuf ships no type information, so generated code cannot be checked.
    text = path.read_text()
    if not text.startswith(_EXEMPTION):
        path.write_text(_EXEMPTION + text)


if __name__ == '__main__':
    sys.exit(main())
