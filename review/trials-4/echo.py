import subprocess,os,socket,time,re,sys,threading,json,urllib.request
env=dict(os.environ,REPOSITORY=os.getcwd(),WORK='60',WORKERS='2')
os.makedirs(os.environ['OUT'],exist_ok=True)
p=subprocess.Popen([os.environ['HOLD'],'hold'],stdin=subprocess.PIPE,stdout=subprocess.PIPE,text=True,cwd=os.environ['OUT'],env=env)
ok,a,b,d=p.stdout.readline().split()
st=re.search(r'store_address = "(.*)"',open(d+'/front-lisse-1.toml').read()).group(1)
def addr(x): h,q=x.split(':'); return (h,int(q))
got={}
L=socket.socket(); L.setsockopt(socket.SOL_SOCKET,socket.SO_REUSEADDR,1); L.bind(('127.0.0.1',0)); L.listen(200); port=L.getsockname()[1]
def serve(c):
    f=c.makefile('rb'); start=f.readline()
    H=[]; 
    while True:
        l=f.readline()
        if l in(b'\r\n',b''): break
        H.append(l)
    h={l.split(b':',1)[0].lower():l.split(b':',1)[1].strip() for l in H}
    n=int(h.get(b'content-length',b'0')); body=f.read(n)
    te=h.get(b'transfer-encoding')
    i=h.get(b'wagtailarch-request-id',b'?').decode()
    got[i]=(start,H,body,te)
    c.sendall(b'HTTP/1.1 200 OK\r\nWagtailarch-Server-Stamp: x\r\nWagtailarch-Request-Id: '+i.encode()+b'\r\nContent-Length: 2\r\n\r\n'+(b'' if start.startswith(b'HEAD') else b'ok')); c.close()
def loop():
    while True:
        c,_=L.accept(); threading.Thread(target=serve,args=(c,),daemon=True).start()
threading.Thread(target=loop,daemon=True).start()
def put(path,body,m='PUT'):
    r=urllib.request.Request(f'http://{st}{path}',data=json.dumps(body).encode(),method=m)
    try: return urllib.request.urlopen(r).read()
    except Exception as e: return repr(e)
def beat():
    n=0
    while True:
        n+=1
        spec={"service":"app2","address":f"127.0.0.1:{port}","zone":"lisse","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"born":1700000000000,"seq_no":n}
        r=put('/v1/objects/servers/py-1',{"metadata":{"name":"py-1"},"spec":spec})
        if isinstance(r,str): put('/v1/objects/servers',{"metadata":{"name":"py-1"},"spec":spec},'POST')
        time.sleep(1.2)
threading.Thread(target=beat,daemon=True).start()
cfg=json.loads(urllib.request.urlopen(f'http://{st}/v1/objects/config/main').read())['spec']
cfg['version']=9
for n,k in (('s','safe'),('u','unsafe')):
    cfg['routes'].append({"name":"r-echo"+n,"host":"bulbs.example","path_prefix":f"/{n}/","kind":k,"timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"app2","max_attempts":1})
cfg['services'].append({"name":"app2","health_path":"/health","max_conns":96,"protocol":"h1","tls":False})
print(put('/v1/objects/config/main',{"metadata":{"name":"main"},"spec":cfg})[:60])
time.sleep(4)
A=addr(a); k=0
def send(raw,i):
    s=socket.create_connection(A); s.settimeout(4); s.sendall(raw)
    r=b''
    try:
        while b'\r\n\r\n' not in r:
            x=s.recv(4096)
            if not x: break
            r+=x
    except Exception as e: r+=repr(e).encode()
    s.close(); return r.split(b'\r\n')[0]
def t(name,line,body=b'',hdr=b'',framed=True,expect=None):
    global k; k+=1; i=f'e{k}'
    raw=line+b' HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: '+i.encode()+b'\r\n'+hdr+(b'Content-Length: %d\r\n'%len(body) if framed and body else b'')+b'\r\n'+body
    r=send(raw,i); g=got.get(i)
    sl=g and g[0].rsplit(b' ',1)[0]
    ok= g and sl==line and (g[2]==(body if expect is None else expect))
    print('OK  ' if ok else 'DIFF',name,line[:60],r[:40],None if ok else g)
for path in [b'/s/a%20b?x=1&y=%zz',b'/s/\xc3\xbc',b'/s/a|b',b'/s/{x}',b'/s/"q"',b'/s/..//./x',b'/s/a?',b'/s/a??b',b'/s/a;b=c',b'/s/a\\b',b'/s/a^b`c',b'/s/<x>',b'//s/x',b'/s/'+b'q'*6000,b'/s/%2e%2e/x',b"/s/a'b",b'/s/x?a=[1]&b={2}',b'/s/a#frag',b'http://bulbs.example/s/abs?q=1',b'/s/x?\xff']:
    t('path',b'GET '+path)
for m in [b'PUT',b'DELETE',b'PATCH',b'OPTIONS',b'HEAD',b'PURGE',b'POST',b'TRACE']:
    t('method',m+b' /s/m')
t('getbody',b'GET /s/gb',b'hello')
t('chunk',b'POST /u/c',b'5\r\nhello\r\n6;ext=1\r\n world\r\n0\r\nX-T: 1\r\n\r\n',b'Transfer-Encoding: chunked\r\n',False,b'hello world')
t('empty post',b'POST /u/e',b'',b'Content-Length: 0\r\n',False)
t('expect',b'POST /u/x',b'hello',b'Expect: 100-continue\r\n')
t('crlf body',b'POST /u/x',b'\r\n\r\nGET /s/evil HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: evil\r\n\r\n')
t('te+cl',b'POST /u/x',b'5\r\nhello\r\n0\r\n\r\n',b'Transfer-Encoding: chunked\r\nContent-Length: 3\r\n',False,b'hello')
t('te identity',b'POST /u/x',b'hello',b'Transfer-Encoding: identity\r\n')
t('dup cl',b'POST /u/x',b'hello',b'Content-Length: 5\r\n')
t('conn hdr',b'POST /u/x',b'hello',b'Connection: Wagtailarch-Request-Id, Wagtailarch-Model, keep-alive\r\nWagtailarch-Model: m\r\nX-Y: z\r\n')
t('big',b'POST /u/big',b'z'*4194304)
t('big+1',b'POST /u/big',b'z'*4194305)
t('hdr120',b'GET /s/h',b'',b''.join(b'X-%d: y\r\n'%j for j in range(120)))
t('hdr15k',b'GET /s/h',b'',b'X: '+b'y'*15000+b'\r\n')
print('evil' in got, {h for h in [l.split(b':')[0] for l in got['e1'][1]]})
print([l for l in got.get('e37',got['e1'])[1]])
p.stdin.write('\n'); p.stdin.flush(); p.wait()
